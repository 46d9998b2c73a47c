package member

import (
	"slices"
	"time"
)

// unverifiedFault is a node that did not respond, until it is known whether the node or the path to it failed.
type unverifiedFault struct {
	id    string
	since time.Time
	// failures counts the calls without a response; retriedAt is when the last call was made.
	failures  int
	retriedAt time.Time
}

// reachability is what this node's own calls showed about one data centre.
type reachability struct {
	// respondedAt is when a node there last responded, responder its ID.
	respondedAt time.Time
	responder   string
	// failingSince is when the first failed call since then was sent; zero if none failed.
	failingSince time.Time
}

// unreachable reports whether calls to the data centre have failed for verifyTimeout without any response.
func (f *Fleet) unreachable(dataCentre string, now time.Time) bool {
	failing := f.reachabilities[dataCentre].failingSince

	return !failing.IsZero() && now.Sub(failing) >= f.options.verifyTimeout()
}

// recordResponse records that the node responded to a call.
func (f *Fleet) recordResponse(now time.Time, entry *Entry) {
	if entry == nil {
		return
	}
	before := f.reachabilities[entry.DataCentre]
	if !before.failingSince.IsZero() {
		f.serial++
	}
	f.reachabilities[entry.DataCentre] = reachability{respondedAt: now, responder: entry.ID}
	f.clearFault(entry.ID)
}

// clearFault drops the unverified fault of a node.
func (f *Fleet) clearFault(id string) {
	f.unverified = slices.DeleteFunc(f.unverified, func(fault unverifiedFault) bool { return fault.id == id })
}

// HandleExchangeResponse processes the response to an exchange.
func (f *Fleet) HandleExchangeResponse(now time.Time, action Action, response Message) {
	f.detectPause(now)
	if action.Sent.Before(f.resumedAt) {
		return
	}
	f.recordResponse(now, response.From.Entry)
	f.merge(now, response)
}

// IndirectProbeExchange returns the exchange that an indirect probe requests. Its response goes to HandleExchangeResponse;
// a failure is reported only to the node that requested the probe.
func (f *Fleet) IndirectProbeExchange(now time.Time, probe IndirectProbe) Action {
	return Action{
		Kind: ActionExchange, Sent: now, To: probe.Subject, Address: probe.Address,
		Message: Message{From: Update{Entry: f.self}},
	}
}

// HandleExchange merges another node's message and returns the response with this node's queued changes.
func (f *Fleet) HandleExchange(now time.Time, message Message) Message {
	f.detectPause(now)
	if !now.Before(f.ignoreMessagesUntil) {
		f.merge(now, message)
	}
	response := f.nextMessage(now)
	response.Updates = append(response.Updates, f.updatesAbout(message.From.Entry, now)...)

	return response
}

// HandleIndirectResponse processes the result of an indirect probe; ok means that the subject responded.
func (f *Fleet) HandleIndirectResponse(now time.Time, action Action, ok bool) {
	f.detectPause(now)
	if action.Sent.Before(f.resumedAt) {
		return
	}
	if helper, found := f.records[action.To]; found {
		f.recordResponse(now, helper.entry)
	}
	if ok {
		f.clearFault(action.IndirectProbe.Subject)
	}
}

// HandleCallFailure processes a call without a response and returns the indirect probes to send.
func (f *Fleet) HandleCallFailure(now time.Time, action Action) []Action {
	f.detectPause(now)
	if action.Sent.Before(f.resumedAt) || action.Kind == ActionIndirectProbe {
		return nil
	}
	rec, found := f.records[action.To]
	if !found || !alive(rec.entry) {
		return nil
	}
	f.recordFailure(rec.entry.DataCentre, action.Sent)
	if at := slices.IndexFunc(f.unverified, func(fault unverifiedFault) bool { return fault.id == action.To }); at >= 0 {
		f.unverified[at].failures++

		return nil
	}
	if rec.entry.State == StateSuspect {
		return nil
	}
	f.unverified = append(f.unverified, unverifiedFault{id: action.To, since: action.Sent, failures: 1, retriedAt: now})

	return f.probeIndirectly(now, rec.entry)
}

// recordFailure records a failed call to the data centre, unless a node there responded after the call was sent.
func (f *Fleet) recordFailure(dataCentre string, sent time.Time) {
	state := f.reachabilities[dataCentre]
	if state.failingSince.IsZero() && sent.After(state.respondedAt) {
		state.failingSince = sent
		f.reachabilities[dataCentre] = state
		f.serial++
	}
}

// probeIndirectly returns indirect probes of the subject through a node in its data centre and a node in this node's data centre.
func (f *Fleet) probeIndirectly(now time.Time, subject *Entry) []Action {
	var actions []Action
	for _, dataCentre := range []string{subject.DataCentre, f.self.DataCentre} {
		helper := f.pick(func(e *Entry) bool {
			return e.ID != subject.ID && callable(e) && e.State != StateSuspect && e.DataCentre == dataCentre
		})
		if helper == nil {
			continue
		}
		actions = append(actions, Action{
			Kind: ActionIndirectProbe, Sent: now, To: helper.ID, Address: helper.Control,
			IndirectProbe: IndirectProbe{Subject: subject.ID, Address: subject.Control},
		})
	}

	return actions
}

// checkUnverified suspects nodes that failed to respond twice although the path to them works, and returns the retries for the others.
// Faults that stay unverified for verifyTimeout are dropped.
func (f *Fleet) checkUnverified(now time.Time) []Action {
	var retries []Action
	remaining := f.unverified[:0]
	for _, fault := range f.unverified {
		rec, found := f.records[fault.id]
		waited := now.Sub(fault.since)
		switch {
		case !found || !alive(rec.entry) || waited > f.options.verifyTimeout():
		case fault.failures > 1 && f.pathWorkedSince(rec.entry, fault.since):
			f.suspect(now, rec.entry)
		default:
			if now.Sub(fault.retriedAt) >= f.options.ProbeInterval/2 {
				fault.retriedAt = now
				retries = append(retries, f.exchangeWith(now, rec.entry))
			}
			remaining = append(remaining, fault)
		}
	}
	f.unverified = remaining

	return retries
}

// pathWorkedSince reports whether a node has responded since then that a network fault would have cut off together with the subject:
// another node in its data centre or, if the subject is in this node's own data centre, any other node.
func (f *Fleet) pathWorkedSince(subject *Entry, since time.Time) bool {
	for name, state := range f.reachabilities {
		sharesPath := name == subject.DataCentre || subject.DataCentre == f.self.DataCentre
		if sharesPath && state.responder != subject.ID && state.respondedAt.After(since) {
			return true
		}
	}

	return false
}

func (f *Fleet) suspect(now time.Time, entry *Entry) {
	next, err := fire(entry.State, triggerSuspect)
	if err != nil {
		return
	}
	f.applyVerdict(now, entry, next, ReasonNoResponse)
}

// applyVerdict stores a state that this node has concluded for another one, and queues it for gossip.
func (f *Fleet) applyVerdict(now time.Time, entry *Entry, state State, reason Reason) {
	f.recordEvent(entry.ID, entry.State, state, reason)
	verdict := entry.withVerdict(state)
	f.put(&verdict, now)
	f.changes.add(entry.ID)
}

// expireSuspects declares nodes dead that have been suspect for SuspectTimeout while the path to them worked.
func (f *Fleet) expireSuspects(now time.Time) {
	for _, id := range f.ids {
		rec := f.records[id]
		if rec.entry.State != StateSuspect || f.age(rec, now) < f.options.SuspectTimeout {
			continue
		}
		if !f.pathWorkedSince(rec.entry, f.start.Add(rec.updatedAt)) {
			continue
		}
		if next, err := fire(rec.entry.State, triggerDeclareDead); err == nil {
			f.applyVerdict(now, rec.entry, next, ReasonSuspectTimeout)
		}
	}
}

// expireUnreachable suspects the nodes of data centres that have been unreachable for UnreachableTimeout, and declares those dead that
// are suspect already.
func (f *Fleet) expireUnreachable(now time.Time) {
	for _, id := range f.ids {
		entry := f.records[id].entry
		failingSince := f.reachabilities[entry.DataCentre].failingSince
		if failingSince.IsZero() || now.Sub(failingSince) < f.options.UnreachableTimeout || !alive(entry) || id == f.self.ID {
			continue
		}
		if entry.State != StateSuspect {
			f.suspect(now, entry)

			continue
		}
		if next, err := fire(entry.State, triggerDeclareDead); err == nil {
			f.applyVerdict(now, entry, next, ReasonUnreachableTimeout)
		}
	}
}
