package member

import "time"

// Tick runs the periodic tasks that are due and returns the calls to make.
func (f *Fleet) Tick(now time.Time) []Action {
	f.detectPause(now)
	f.lastTick = now
	actions := f.checkUnverified(now)
	if !f.changes.empty() {
		actions = append(actions, f.gossip(now)...)
	}
	if due(&f.schedule.probe, now, f.jitter(f.options.ProbeInterval)) {
		actions = append(actions, f.probe(now)...)
	}
	if due(&f.schedule.sync, now, f.syncInterval(now)) {
		actions = append(actions, f.syncLocal(now)...)
	}
	if due(&f.schedule.relay, now, f.jitter(f.options.RelayInterval)) {
		actions = append(actions, f.syncAsRelay(now)...)
	}
	if due(&f.schedule.revisit, now, f.revisitInterval()) {
		actions = append(actions, f.revisit(now)...)
	}
	if due(&f.schedule.ended, now, f.jitter(f.options.GossipInterval)) {
		actions = append(actions, f.probeEnded(now)...)
	}
	if due(&f.schedule.expire, now, f.options.ProbeInterval) {
		f.expireSuspects(now)
		f.expireUnreachable(now)
		f.removeExpired(now)
	}

	return actions
}

// due reports whether the time has come, and if so schedules the next time.
func due(at *time.Time, now time.Time, period time.Duration) bool {
	if now.Before(*at) {
		return false
	}
	*at = now.Add(period)

	return true
}

// detectPause checks whether this node was itself paused. If so, it discards pending faults and reachability and restarts the timers
// of suspects, because missing responses prove nothing. After a long pause it also resets the view.
func (f *Fleet) detectPause(now time.Time) {
	gap := now.Sub(f.lastTick)
	if gap < f.options.pauseThreshold() {
		return
	}
	f.lastTick = now
	f.recordEvent(f.self.ID, f.self.State, f.self.State, ReasonObserverPaused)
	f.resumedAt = now
	f.unverified = nil
	clear(f.reachabilities)
	for _, rec := range f.records {
		if rec.entry.State == StateSuspect {
			rec.updatedAt = now.Sub(f.start)
		}
	}
	if gap >= f.options.TombstoneExpiry/2 {
		f.reset()
		f.ignoreMessagesUntil = now.Add(f.options.ProbeInterval)
	}
	f.schedule.sync = now
}

// reset removes all other entries, because the tombstones of some may have expired at the other nodes during the pause. The addresses
// of live nodes stay as contacts.
func (f *Fleet) reset() {
	for _, id := range append([]string(nil), f.ids...) {
		if id == f.self.ID {
			continue
		}
		if entry := f.records[id].entry; alive(entry) {
			f.AddContacts([]string{entry.Control})
		}
		f.remove(id)
	}
}

// gossip sends queued changes to Fanout nodes.
func (f *Fleet) gossip(now time.Time) []Action {
	var actions []Action
	for _, entry := range f.pickMany(f.options.Fanout) {
		actions = append(actions, f.exchangeWith(now, entry))
	}

	return actions
}

// probe exchanges with a random node, a node in an unreachable data centre, and a witness for a node whose fault is
// unverified or that is suspect, where there are any.
func (f *Fleet) probe(now time.Time) []Action {
	var actions []Action
	if entry := f.pick(callable); entry != nil {
		actions = append(actions, f.exchangeWith(now, entry))
	}
	if entry := f.pick(func(e *Entry) bool { return callable(e) && f.unreachable(e.DataCentre, now) }); entry != nil {
		actions = append(actions, f.exchangeWith(now, entry))
	}
	if witness := f.witness(); witness != nil {
		actions = append(actions, f.exchangeWith(now, witness))
	}

	return actions
}

// witness returns another node in the data centre of a node with an unverified fault, or of a suspect for which there is no proof yet
// that the path works; nil if there is none.
func (f *Fleet) witness() *Entry {
	subject := f.pick(func(e *Entry) bool {
		return e.State == StateSuspect && !f.pathWorkedSince(e, f.start.Add(f.records[e.ID].updatedAt))
	})
	if len(f.unverified) > 0 {
		if rec, found := f.records[f.unverified[0].id]; found {
			subject = rec.entry
		}
	}
	if subject == nil {
		return nil
	}

	return f.pick(func(e *Entry) bool {
		return e.ID != subject.ID && e.DataCentre == subject.DataCentre && callable(e) && e.State != StateSuspect
	})
}

// joinDuration is how long a new node compares digests in every gossip interval: many nodes may have started together, each knowing
// little of the fleet.
const joinDuration = 2 * time.Second

// joining reports whether the node started less than joinDuration ago.
func (f *Fleet) joining(now time.Time) bool {
	return now.Sub(f.start) < joinDuration
}

// syncInterval is the gossip interval while the node is joining.
func (f *Fleet) syncInterval(now time.Time) time.Duration {
	if f.joining(now) {
		return f.options.GossipInterval
	}

	return f.jitter(f.options.SyncInterval)
}

// syncLocal compares digests with a node of the same data centre, or with any node while joining or if there is none.
func (f *Fleet) syncLocal(now time.Time) []Action {
	peer := f.pick(func(e *Entry) bool { return callable(e) && e.DataCentre == f.self.DataCentre })
	if peer == nil || f.joining(now) {
		peer = f.pick(callable)
	}
	if peer == nil {
		return nil
	}

	return []Action{f.syncWith(now, peer.ID, peer.Control)}
}

// revisitInterval is shorter while no other node is known.
func (f *Fleet) revisitInterval() time.Duration {
	if f.alone() {
		return f.jitter(f.options.ProbeInterval)
	}

	return f.jitter(f.options.RevisitInterval)
}

// alone reports whether no other node is known that can be called.
func (f *Fleet) alone() bool {
	return f.pick(callable) == nil
}

const (
	// endedProbeTime is how long a node that has ended is probed often, because most restarts take less.
	endedProbeTime = 30 * time.Second
	// maxEndedProbes bounds the probes of a node in a gossip interval, when few are left of many.
	maxEndedProbes = 8
)

// probeEnded calls nodes that left or died within endedProbeTime. A node that restarts while the platform's table is away knows no other
// node and can only be found at its address. On average one node of the fleet calls each address in every gossip interval.
func (f *Fleet) probeEnded(now time.Time) []Action {
	live := 0
	var ended []*Entry
	for _, id := range f.ids {
		rec := f.records[id]
		switch {
		case alive(rec.entry):
			live++
		case rec.entry.Control != "" && f.age(rec, now) < endedProbeTime:
			ended = append(ended, rec.entry)
		}
	}
	f.random.Shuffle(len(ended), func(i, j int) { ended[i], ended[j] = ended[j], ended[i] })
	var actions []Action
	for _, entry := range ended {
		if len(actions) < maxEndedProbes && f.random.Float64()*float64(live) < 1 {
			actions = append(actions, f.syncWith(now, entry.ID, entry.Control))
		}
	}

	return actions
}

// revisit tries contacts at which no member is known, and one node that has ended.
func (f *Fleet) revisit(now time.Time) []Action {
	var actions []Action
	for _, address := range f.unknownContacts() {
		actions = append(actions, f.syncWith(now, "", address))
	}
	if ended := f.pick(func(e *Entry) bool { return !alive(e) && e.Control != "" }); ended != nil {
		actions = append(actions, f.syncWith(now, ended.ID, ended.Control))
	}

	return actions
}

// unknownContacts returns a random contact that is not the address of a live member, or up to Fanout of them if no other
// node is known.
func (f *Fleet) unknownContacts() []string {
	memberAddresses := map[string]bool{}
	for _, r := range f.records {
		if alive(r.entry) {
			memberAddresses[r.entry.Control] = true
		}
	}
	var unknown []string
	for _, address := range f.contacts {
		if !memberAddresses[address] {
			unknown = append(unknown, address)
		}
	}
	f.random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	count := 1
	if f.alone() {
		count = f.options.Fanout
	}

	return unknown[:min(len(unknown), count)]
}

// removeExpired removes ended entries older than TombstoneExpiry.
func (f *Fleet) removeExpired(now time.Time) {
	var expired []string
	for _, id := range f.ids {
		rec := f.records[id]
		if id != f.self.ID && rec.entry.State.Ended() && f.age(rec, now) >= f.options.TombstoneExpiry {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		f.recordEvent(id, f.records[id].entry.State, "", ReasonTombstoneExpired)
		f.remove(id)
	}
}
