package member

import "time"

// Merge takes in what another node says, and reports whether that changed anything.
func (f *Fleet) Merge(now time.Time, update Update) bool {
	entry := update.Entry
	if entry == nil || entry.ID == "" {
		return false
	}
	if entry.ID == f.self.ID {
		return f.mergeSelf(now, entry)
	}
	if entry.State.Ended() && update.Age >= f.options.TombstoneExpiry {
		return false
	}
	known, found := f.records[entry.ID]
	if found && !entry.newer(known.entry) {
		f.mergeRevision(known, entry)

		return false
	}
	from := State("")
	if found {
		from = known.entry.State
	}
	f.put(entry, now.Add(-update.Age))
	f.changes.add(entry.ID)
	if from != entry.State {
		f.note(entry.ID, from, entry.State, ReasonReceived)
	}

	return true
}

// mergeRevision keeps the highest revision heard of an incarnation; it is not worth a message of its own.
func (f *Fleet) mergeRevision(known *record, entry *Entry) {
	if entry.Incarnation != known.entry.Incarnation || entry.Revision <= known.entry.Revision {
		return
	}
	changed := *known.entry
	changed.Revision = entry.Revision
	known.entry = &changed
	f.serial++
}

// mergeSelf answers what others say of this node: verdicts are refuted, older lives are overruled.
func (f *Fleet) mergeSelf(now time.Time, heard *Entry) bool {
	switch {
	case heard.Incarnation > f.self.Incarnation && now.Before(f.clashed.Add(f.options.SuspectTimeout)):
		return false
	case heard.Incarnation > f.self.Incarnation:
		f.clashed = now
		f.note(f.self.ID, heard.State, f.self.State, ReasonNameConflict)
		self := *f.self
		self.Incarnation = heard.Incarnation + 1
		f.announce(now, self)
	case heard.Incarnation < f.self.Incarnation:
		f.changes.add(f.self.ID)
	case heard.newer(f.self):
		f.note(f.self.ID, heard.State, f.self.State, ReasonRefuted)
		self := *f.self
		self.Version = heard.Version + 1
		f.announce(now, self)
	default:
		return false
	}

	return true
}

// update returns the entry as it travels.
func (f *Fleet) update(r *record, now time.Time) Update {
	if r.entry.State.Ended() {
		return Update{Entry: r.entry, Age: max(0, f.age(r, now))}
	}

	return Update{Entry: r.entry}
}

// verdictOn returns what this node believes of the sender if the sender should know better, none otherwise.
func (f *Fleet) verdictOn(sender *Entry, now time.Time) []Update {
	if sender == nil {
		return nil
	}
	known, found := f.records[sender.ID]
	if !found || !known.entry.newer(sender) {
		return nil
	}

	return []Update{f.update(known, now)}
}

// message returns the next changes to pass on.
func (f *Fleet) message(now time.Time) Message {
	ids := f.changes.take(f.options.MaxBatch, len(f.ids))
	message := Message{From: Update{Entry: f.self}}
	for _, id := range ids {
		if known, found := f.records[id]; found && id != f.self.ID {
			message.Updates = append(message.Updates, f.update(known, now))
		}
	}

	return message
}

// merge takes in a whole message and returns how many entries it changed.
func (f *Fleet) merge(now time.Time, message Message) int {
	changed := 0
	if f.Merge(now, message.From) {
		changed++
	}
	for _, update := range message.Updates {
		if f.Merge(now, update) {
			changed++
		}
	}

	return changed
}

// mergeBulk takes in a message and passes nothing on if the news is that this node knew next to nothing.
func (f *Fleet) mergeBulk(now time.Time, message Message) {
	known, pending := len(f.ids), f.changes.clone()
	changed := f.merge(now, message)
	if changed > max(f.options.MaxBatch, known/2) {
		f.changes = pending
		f.changes.add(f.self.ID)
	}
}
