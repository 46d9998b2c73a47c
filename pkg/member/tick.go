package member

import "time"

// Tick does what is due and returns the calls to make.
func (f *Fleet) Tick(now time.Time) []Action {
	f.checkPause(now)
	f.lastTick = now
	actions := f.judgeUnverified(now)
	if !f.changes.empty() {
		actions = append(actions, f.gossip(now)...)
	}
	if due(&f.schedule.probe, now, f.jitter(f.options.ProbeInterval)) {
		actions = append(actions, f.probe(now)...)
	}
	if due(&f.schedule.sync, now, f.syncPeriod(now)) {
		actions = append(actions, f.syncNear(now)...)
	}
	if due(&f.schedule.relay, now, f.jitter(f.options.RelayInterval)) {
		actions = append(actions, f.relay(now)...)
	}
	if due(&f.schedule.revisit, now, f.revisitPeriod()) {
		actions = append(actions, f.revisit(now)...)
	}
	if due(&f.schedule.sweep, now, f.options.ProbeInterval) {
		f.judgeSuspects(now)
		f.releaseCutOff(now)
		f.sweep(now)
	}

	return actions
}

// due reports whether the time has come, and sets the next one.
func due(at *time.Time, now time.Time, period time.Duration) bool {
	if now.Before(*at) {
		return false
	}
	*at = now.Add(period)

	return true
}

// checkPause forgives everybody when this node itself did not run for a while.
func (f *Fleet) checkPause(now time.Time) {
	gap := now.Sub(f.lastTick)
	if gap < f.options.pauseAfter() {
		return
	}
	f.lastTick = now
	f.note(f.self.ID, f.self.State, f.self.State, ReasonObserverPaused)
	f.resumed = now
	f.unverified = nil
	clear(f.reached)
	for _, known := range f.records {
		if known.entry.State == StateSuspect {
			known.since = now.Sub(f.start)
		}
	}
	if gap >= f.options.TombstoneExpiry/2 {
		f.reset()
		f.deafUntil = now.Add(f.options.ProbeInterval)
	}
	f.schedule.sync = now
}

// reset forgets everybody, because the others may have dropped their tombstones meanwhile.
func (f *Fleet) reset() {
	for _, id := range append([]string(nil), f.ids...) {
		if id == f.self.ID {
			continue
		}
		if entry := f.records[id].entry; alive(entry) {
			f.AddContacts([]string{entry.Control})
		}
		f.forget(id)
	}
}

// gossip passes changes on to a few nodes.
func (f *Fleet) gossip(now time.Time) []Action {
	var actions []Action
	for _, entry := range f.pickMany(f.options.Fanout) {
		actions = append(actions, f.exchangeWith(now, entry))
	}

	return actions
}

// probe exchanges with one random node, with one in a data centre that is cut off, and with one beside a node in question.
func (f *Fleet) probe(now time.Time) []Action {
	var actions []Action
	if entry := f.pick(callable); entry != nil {
		actions = append(actions, f.exchangeWith(now, entry))
	}
	if entry := f.pick(func(e *Entry) bool { return callable(e) && f.cutOff(e.DataCentre, now) }); entry != nil {
		actions = append(actions, f.exchangeWith(now, entry))
	}
	if witness := f.witness(); witness != nil {
		actions = append(actions, f.exchangeWith(now, witness))
	}

	return actions
}

// witness returns a node in the data centre of one that is in question or suspect and waits for proof, nil if there is none.
func (f *Fleet) witness() *Entry {
	subject := f.pick(func(e *Entry) bool {
		return e.State == StateSuspect && !f.answeredSince(e, f.start.Add(f.records[e.ID].since))
	})
	if len(f.unverified) > 0 {
		if known, found := f.records[f.unverified[0].id]; found {
			subject = known.entry
		}
	}
	if subject == nil {
		return nil
	}

	return f.pick(func(e *Entry) bool {
		return e.ID != subject.ID && e.DataCentre == subject.DataCentre && callable(e) && e.State != StateSuspect
	})
}

// joinTime is how long a new node compares digests in each round, as many may have started with it and know as little.
const joinTime = 2 * time.Second

func (f *Fleet) joining(now time.Time) bool {
	return now.Sub(f.start) < joinTime
}

func (f *Fleet) syncPeriod(now time.Time) time.Duration {
	if f.joining(now) {
		return f.options.GossipInterval
	}

	return f.jitter(f.options.SyncInterval)
}

// syncNear compares digests with one node of the same data centre, of any while the node is joining.
func (f *Fleet) syncNear(now time.Time) []Action {
	near := f.pick(func(e *Entry) bool { return callable(e) && e.DataCentre == f.self.DataCentre })
	if near == nil || f.joining(now) {
		near = f.pick(callable)
	}
	if near == nil {
		return nil
	}

	return []Action{f.syncWith(now, near.ID, near.Control)}
}

// revisitPeriod is short as long as the node is alone.
func (f *Fleet) revisitPeriod() time.Duration {
	if f.alone() {
		return f.jitter(f.options.ProbeInterval)
	}

	return f.jitter(f.options.RevisitInterval)
}

func (f *Fleet) alone() bool {
	return f.pick(callable) == nil
}

// revisit tries a contact at which no member is known, and a node that is thought dead.
func (f *Fleet) revisit(now time.Time) []Action {
	var actions []Action
	for _, address := range f.strangerContacts() {
		actions = append(actions, f.syncWith(now, "", address))
	}
	if dead := f.pick(func(e *Entry) bool { return e.State == StateDead && e.Control != "" }); dead != nil {
		actions = append(actions, f.syncWith(now, dead.ID, dead.Control))
	}

	return actions
}

// strangerContacts returns a random contact that is no living member's address, a few of them for a node that is alone.
func (f *Fleet) strangerContacts() []string {
	known := map[string]bool{}
	for _, r := range f.records {
		if alive(r.entry) {
			known[r.entry.Control] = true
		}
	}
	var strangers []string
	for _, address := range f.contacts {
		if !known[address] {
			strangers = append(strangers, address)
		}
	}
	f.random.Shuffle(len(strangers), func(i, j int) { strangers[i], strangers[j] = strangers[j], strangers[i] })
	most := 1
	if f.alone() {
		most = f.options.Fanout
	}

	return strangers[:min(len(strangers), most)]
}

// sweep drops ended entries that are old enough.
func (f *Fleet) sweep(now time.Time) {
	var expired []string
	for _, id := range f.ids {
		known := f.records[id]
		if id != f.self.ID && known.entry.State.Ended() && f.age(known, now) >= f.options.TombstoneExpiry {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		f.note(id, f.records[id].entry.State, "", ReasonTombstoneExpired)
		f.forget(id)
	}
}
