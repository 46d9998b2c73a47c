package member

import (
	"slices"
	"time"
)

// unverifiedFault is a node that did not answer, while it is open whether the fault lies with it or with the way to it.
type unverifiedFault struct {
	id    string
	since time.Time
	// failures counts calls without an answer, retried is when the last one was made.
	failures int
	retried  time.Time
}

// reachability is what the node itself found of one data centre.
type reachability struct {
	// answered is when a node there last answered, and which one.
	answered time.Time
	by       string
	// failing is when calls to it began to fail without an answer since, zero if they did not.
	failing time.Time
}

// cutOff reports whether no node of the data centre has answered for long, though some were asked.
func (f *Fleet) cutOff(dataCentre string, now time.Time) bool {
	failing := f.reached[dataCentre].failing

	return !failing.IsZero() && now.Sub(failing) >= f.options.verify()
}

// contacted notes that a node answered a call.
func (f *Fleet) contacted(now time.Time, entry *Entry) {
	if entry == nil {
		return
	}
	before := f.reached[entry.DataCentre]
	if !before.failing.IsZero() {
		f.serial++
	}
	f.reached[entry.DataCentre] = reachability{answered: now, by: entry.ID}
	f.settle(entry.ID)
}

// settle drops the unverified fault of a node.
func (f *Fleet) settle(id string) {
	f.unverified = slices.DeleteFunc(f.unverified, func(d unverifiedFault) bool { return d.id == id })
}

// HandleExchangeResponse takes in the answer to an exchange.
func (f *Fleet) HandleExchangeResponse(now time.Time, action Action, reply Message) {
	f.checkPause(now)
	if action.Sent.Before(f.resumed) {
		return
	}
	f.contacted(now, reply.From.Entry)
	f.merge(now, reply)
}

// IndirectProbeExchange returns the exchange that a Reach asks for; its answer goes to Exchanged, its failure to nobody.
func (f *Fleet) IndirectProbeExchange(now time.Time, reach IndirectProbe) Action {
	return Action{
		Kind: ActionExchange, Sent: now, To: reach.Subject, Address: reach.Address,
		Message: Message{From: Update{Entry: f.self}},
	}
}

// HandleExchange takes in another node's message and answers with this node's news.
func (f *Fleet) HandleExchange(now time.Time, message Message) Message {
	f.checkPause(now)
	if !now.Before(f.deafUntil) {
		f.merge(now, message)
	}
	reply := f.message(now)
	reply.Updates = append(reply.Updates, f.verdictOn(message.From.Entry, now)...)

	return reply
}

// HandleIndirectProbeResponse takes in whether the node that was asked could reach the third one.
func (f *Fleet) HandleIndirectProbeResponse(now time.Time, action Action, ok bool) {
	f.checkPause(now)
	if action.Sent.Before(f.resumed) {
		return
	}
	if via, found := f.records[action.To]; found {
		f.contacted(now, via.entry)
	}
	if ok {
		f.settle(action.IndirectProbe.Subject)
	}
}

// HandleCallFailure takes in that a call got no answer, and returns the calls by which others are asked to try.
func (f *Fleet) HandleCallFailure(now time.Time, action Action) []Action {
	f.checkPause(now)
	if action.Sent.Before(f.resumed) || action.Kind == ActionIndirectProbe {
		return nil
	}
	known, found := f.records[action.To]
	if !found || !alive(known.entry) {
		return nil
	}
	f.failed(known.entry.DataCentre, action.Sent)
	if at := slices.IndexFunc(f.unverified, func(d unverifiedFault) bool { return d.id == action.To }); at >= 0 {
		f.unverified[at].failures++

		return nil
	}
	if known.entry.State == StateSuspect {
		return nil
	}
	f.unverified = append(f.unverified, unverifiedFault{id: action.To, since: action.Sent, failures: 1, retried: now})

	return f.askOthers(now, known.entry)
}

// failed notes that a call to the data centre failed, unless an answer came since it was sent.
func (f *Fleet) failed(dataCentre string, sent time.Time) {
	state := f.reached[dataCentre]
	if state.failing.IsZero() && sent.After(state.answered) {
		state.failing = sent
		f.reached[dataCentre] = state
		f.serial++
	}
}

// askOthers returns calls that ask a node beside the subject and one near this node to reach the subject.
func (f *Fleet) askOthers(now time.Time, subject *Entry) []Action {
	var actions []Action
	for _, dataCentre := range []string{subject.DataCentre, f.self.DataCentre} {
		via := f.pick(func(e *Entry) bool {
			return e.ID != subject.ID && callable(e) && e.State != StateSuspect && e.DataCentre == dataCentre
		})
		if via == nil {
			continue
		}
		actions = append(actions, Action{
			Kind: ActionIndirectProbe, Sent: now, To: via.ID, Address: via.Control,
			IndirectProbe: IndirectProbe{Subject: subject.ID, Address: subject.Control},
		})
	}

	return actions
}

// judgeUnverified suspects nodes that did not answer twice while others in their data centre did, and returns the second calls.
func (f *Fleet) judgeUnverified(now time.Time) []Action {
	var retries []Action
	open := f.unverified[:0]
	for _, d := range f.unverified {
		known, found := f.records[d.id]
		waited := now.Sub(d.since)
		switch {
		case !found || !alive(known.entry) || waited > f.options.verify():
		case d.failures > 1 && f.answeredSince(known.entry, d.since):
			f.suspect(now, known.entry)
		default:
			if now.Sub(d.retried) >= f.options.ProbeInterval/2 {
				d.retried = now
				retries = append(retries, f.exchangeWith(now, known.entry))
			}
			open = append(open, d)
		}
	}
	f.unverified = open

	return retries
}

// answeredSince reports whether a node that would be as unreachable as the subject, were the network at fault, has answered
// since: another one in its data centre, or any other if that is this node's own.
func (f *Fleet) answeredSince(subject *Entry, since time.Time) bool {
	for name, state := range f.reached {
		comparable := name == subject.DataCentre || subject.DataCentre == f.self.DataCentre
		if comparable && state.by != subject.ID && state.answered.After(since) {
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
	f.conclude(now, entry, next, ReasonNoResponse)
}

// conclude stores and spreads a verdict of this node.
func (f *Fleet) conclude(now time.Time, entry *Entry, state State, reason Reason) {
	f.note(entry.ID, entry.State, state, reason)
	verdict := entry.withVerdict(state)
	f.put(&verdict, now)
	f.changes.add(entry.ID)
}

// judgeSuspects condemns nodes that were suspect for long while others in their data centre answered.
func (f *Fleet) judgeSuspects(now time.Time) {
	for _, id := range f.ids {
		known := f.records[id]
		if known.entry.State != StateSuspect || f.age(known, now) < f.options.SuspectTimeout {
			continue
		}
		if !f.answeredSince(known.entry, f.start.Add(known.since)) {
			continue
		}
		if next, err := fire(known.entry.State, triggerCondemn); err == nil {
			f.conclude(now, known.entry, next, ReasonSuspectTimeout)
		}
	}
}

// releaseCutOff gives up the nodes of data centres that were unreachable for longer than the hold.
func (f *Fleet) releaseCutOff(now time.Time) {
	for _, id := range f.ids {
		entry := f.records[id].entry
		failing := f.reached[entry.DataCentre].failing
		if failing.IsZero() || now.Sub(failing) < f.options.UnreachableTimeout || !alive(entry) || id == f.self.ID {
			continue
		}
		if entry.State != StateSuspect {
			f.suspect(now, entry)

			continue
		}
		if next, err := fire(entry.State, triggerCondemn); err == nil {
			f.conclude(now, entry, next, ReasonUnreachableTimeout)
		}
	}
}
