package member

import "time"

// Merge applies an update received from another node and reports whether it changed or re-announced an entry.
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
	rec, found := f.records[entry.ID]
	if found && !entry.supersedes(rec.entry) {
		f.mergeRevision(rec, entry)

		return false
	}
	from := State("")
	if found {
		from = rec.entry.State
	}
	f.put(entry, now.Add(-update.Age))
	f.changes.add(entry.ID)
	if from != entry.State {
		f.recordEvent(entry.ID, from, entry.State, ReasonReceived)
	}

	return true
}

// mergeRevision keeps the highest settings revision seen for an incarnation. It queues no change: revisions spread with
// other messages.
func (f *Fleet) mergeRevision(rec *record, entry *Entry) {
	if entry.Incarnation != rec.entry.Incarnation || entry.Revision <= rec.entry.Revision {
		return
	}
	changed := *rec.entry
	changed.Revision = entry.Revision
	rec.entry = &changed
	f.serial++
}

// mergeSelf handles an update about this node itself: it refutes suspicion and death with a higher version, spreads its entry again
// to replace an older incarnation, and raises its incarnation when another process uses its ID.
func (f *Fleet) mergeSelf(now time.Time, received *Entry) bool {
	f.learnDeparture(now, received)
	switch {
	case received.Incarnation > f.self.Incarnation && now.Before(f.nameConflictAt.Add(f.options.SuspectTimeout)):
		return false
	case received.Incarnation > f.self.Incarnation:
		f.nameConflictAt = now
		f.recordEvent(f.self.ID, received.State, f.self.State, ReasonNameConflict)
		self := *f.self
		self.Incarnation = received.Incarnation + 1
		f.announce(now, self)
	case received.Incarnation < f.self.Incarnation:
		f.changes.add(f.self.ID)
	case received.supersedes(f.self):
		f.recordEvent(f.self.ID, received.State, f.self.State, ReasonRefuted)
		self := *f.self
		self.Version = received.Version + 1
		f.announce(now, self)
	default:
		return false
	}

	return true
}

// updateOf returns the record as an update, with its age if the entry has ended.
func (f *Fleet) updateOf(r *record, now time.Time) Update {
	if r.entry.State.Ended() {
		return Update{Entry: r.entry, Age: max(0, f.age(r, now))}
	}

	return Update{Entry: r.entry}
}

// correctionFor returns this node's entry for the sender if it supersedes the one that the sender announced, so that the sender can
// refute it; nil otherwise.
func (f *Fleet) correctionFor(sender *Entry, now time.Time) []Update {
	rec, found := f.records[sender.ID]
	if !found || !rec.entry.supersedes(sender) {
		return nil
	}

	return []Update{f.updateOf(rec, now)}
}

// updatesAbout returns what the sender of its own entry does not know about itself.
func (f *Fleet) updatesAbout(sender *Entry, now time.Time) []Update {
	if sender == nil {
		return nil
	}

	return append(f.correctionFor(sender, now), f.departureFor(sender.ID, now)...)
}

// nextMessage returns the queued changes that are due to be sent next.
func (f *Fleet) nextMessage(now time.Time) Message {
	ids := f.changes.take(f.options.MaxBatch, len(f.ids))
	message := Message{From: Update{Entry: f.self}}
	for _, id := range ids {
		if rec, found := f.records[id]; found && id != f.self.ID {
			message.Updates = append(message.Updates, f.updateOf(rec, now))
		}
	}

	return message
}

// merge applies all updates of a message and returns how many of them changed an entry.
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

// mergeBulk merges a message without gossiping the changes if there are so many that this node must have lacked most of the fleet:
// the other nodes know them already. Only the node's own entry is added to the queue then.
func (f *Fleet) mergeBulk(now time.Time, message Message) {
	sizeBefore, pending := len(f.ids), f.changes.clone()
	changed := f.merge(now, message)
	if changed > max(f.options.MaxBatch, sizeBefore/2) {
		f.changes = pending
		f.changes.add(f.self.ID)
	}
}
