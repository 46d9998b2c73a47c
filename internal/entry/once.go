package entry

import (
	"context"
	"math/rand/v2"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/claim"
	"github.com/pistachiotack/pistachiotack/internal/exec"
	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	statusRedirect = 307
	// maxNumber bounds the random start of attempt numbers, by which entries tell their attempts apart.
	maxNumber = 1 << 30
)

// home pins a once operation to the one process that may run it.
type home struct {
	ticket claim.Ticket
	// key is what the operation was claimed for, nil if the caller holds its ticket.
	key *claim.Key
	// chosen is the target that the chooser gave for this request, empty if the home was named by the ticket.
	chosen member.Entry
	// said says that the outcome of the latest attempt is the home's own word.
	said bool
}

// runOnce serves a call of a once kind: by its ticket, by its key, or by handing a ticket out.
func (r *request) runOnce(c context.Context) *call.Refusal {
	ticket, ticketed, refusal := r.takeTicket()
	key := string(r.http.Request.Header.Peek(wire.HeaderIdempotencyKey))
	if refusal != nil {
		return refusal
	}
	r.mayHaveRun = ticketed || key != ""
	if refusal = r.check(); refusal != nil {
		return r.honest(refusal)
	}
	r.mayHaveRun = false
	switch {
	case ticketed:
		r.pin(home{ticket: ticket})
	case key != "":
		if refusal = r.claim(c, key); refusal != nil {
			return refusal
		}
	case r.scope.Depth == 0:
		return r.issue(c)
	}
	refusal = r.run(c)
	if refusal == nil || r.home == nil || refusal.Outcome != call.OutcomeUnknown {
		return refusal
	}

	return r.recall(c, refusal)
}

// takeTicket reads the ticket in the URL and takes it out, so that the backend server sees the caller's own URL.
func (r *request) takeTicket() (claim.Ticket, bool, *call.Refusal) {
	request := &r.http.Request
	path, query, _ := strings.Cut(string(request.Header.RequestURI()), "?")
	kept := make([]string, 0)
	text := ""
	for part := range strings.SplitSeq(query, "&") {
		if value, found := strings.CutPrefix(part, wire.QueryTicket+"="); found {
			text = value

			continue
		}
		kept = append(kept, part)
	}
	if text == "" {
		return claim.Ticket{}, false, nil
	}
	if rest := strings.Join(kept, "&"); rest != "" {
		path += "?" + rest
	}
	request.SetRequestURI(path)
	text, err := url.QueryUnescape(text)
	if err != nil {
		return claim.Ticket{}, false, badTicket(err)
	}
	ticket, err := claim.ParseTicket(text)
	if err != nil {
		return claim.Ticket{}, false, badTicket(err)
	}

	return ticket, true, nil
}

func badTicket(err error) *call.Refusal {
	return call.NewRefusal(call.OutcomeNotRun, call.ReasonBadRequest).WithDetail("%v", err)
}

// showTicket gives the caller the ticket it holds; a key may move on to another ticket, and is shown none.
func (r *request) showTicket() {
	if r.home != nil && r.home.key == nil {
		r.http.Response.Header.Set(wire.HeaderTicket, r.home.ticket.String())
	}
}

func (r *request) pin(h home) {
	r.home = &h
	r.op = h.ticket.Op
	r.base = rand.IntN(maxNumber)
}

// propose chooses a home for a new operation.
func (r *request) propose(c context.Context) (claim.Ticket, member.Entry, *call.Refusal) {
	choice, refusal := r.choose(time.Now())
	if refusal != nil {
		return claim.Ticket{}, member.Entry{}, refusal
	}
	target := r.known(c, choice.Target)
	if target.Incarnation == 0 {
		r.release(choice.Target, call.ReasonConnect)

		return claim.Ticket{}, member.Entry{}, call.NewRefusal(call.OutcomeNotRun, call.ReasonConnect)
	}

	return claim.Ticket{Op: r.op, Node: target.ID, Incarnation: target.Incarnation}, choice.Target, nil
}

// release tells the chooser that its choice was not used.
func (r *request) release(target member.Entry, reason call.Reason) {
	result := Result{Outcome: call.OutcomeNotRun, Reason: reason}
	r.entry.options.Chooser.Done(time.Now(), result.of(r.policy, target))
}

func (r *request) identify(c context.Context, target member.Entry) uint64 {
	c, cancel := context.WithTimeout(c, resolveTimeout)
	defer cancel()
	var identity exec.Identity
	if err := r.entry.control.Call(c, target.Control, exec.MethodIdentify, exec.IdentifyArgs{}, &identity); err != nil {
		return 0
	}
	r.entry.targets.learn(target, identity.Incarnation)

	return identity.Incarnation
}

// issue hands a ticket out: the caller repeats its request at the URL that names operation and home.
func (r *request) issue(c context.Context) *call.Refusal {
	ticket, target, refusal := r.propose(c)
	if refusal != nil {
		return refusal
	}
	r.release(target, call.ReasonNeedsTicket)
	r.entry.metrics.Counter("tickets").Inc(1)
	location := string(r.http.Request.Header.RequestURI())
	separator := "?"
	if strings.Contains(location, separator) {
		separator = "&"
	}
	out := &r.http.Response
	out.SetStatusCode(statusRedirect)
	out.Header.Set("Location", location+separator+wire.QueryTicket+"="+url.QueryEscape(ticket.String()))
	out.Header.Set(wire.HeaderOutcome, string(call.OutcomeNotRun))
	out.Header.Set(wire.HeaderOperation, string(r.op))
	r.decide(trace.Decision{Step: trace.StepRoute, Chosen: target.ID, Outcome: call.OutcomeNotRun, Reason: call.ReasonNeedsTicket})

	return nil
}

// claim pins the request to the operation that holds its key.
func (r *request) claim(c context.Context, text string) *call.Refusal {
	if len(text) > claim.MaxKey {
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonBadRequest).WithDetail("key is longer than %d bytes", claim.MaxKey)
	}
	key := r.key(text)
	proposed, target, refusal := r.propose(c)
	if refusal != nil {
		return r.claimed(c, key, refusal)
	}
	holder, own, err := claim.Claim(c, r.entry.table, key, proposed)
	if err != nil || !own {
		r.release(target, call.ReasonKeyClaimed)
		target = member.Entry{}
	}
	if err != nil {
		return r.noClaim(err)
	}
	r.pin(home{ticket: holder, key: &key, chosen: target})

	return nil
}

// claimed looks for an earlier claim where no new home can be had.
func (r *request) claimed(c context.Context, key claim.Key, refusal *call.Refusal) *call.Refusal {
	holder, err := claim.Lookup(c, r.entry.table, key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return refusal
	case err != nil:
		return r.noClaim(err)
	}
	r.pin(home{ticket: holder, key: &key})

	return nil
}

// noClaim refuses a key that the table cannot tell of; an earlier request with it may have run.
func (r *request) noClaim(err error) *call.Refusal {
	if errors.Is(err, claim.ErrOther) {
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonKeyClaimed).WithDetail("%v", err).WithFinal()
	}

	return call.NewRefusal(call.OutcomeUnknown, call.ReasonTableAway).
		WithDetail("this request was not sent; whether an earlier one with the key ran cannot be told: %v", err).
		WithRetryAfter(r.policy.RetryAfter)
}

func (r *request) key(text string) claim.Key {
	in := &r.http.Request
	sum := xxhash.New()
	_, _ = sum.Write(in.Header.Method())
	_, _ = sum.Write(in.Header.RequestURI())
	_, _ = sum.Write(in.Body())

	return claim.Key{
		Service: r.policy.Service,
		Caller:  string(in.Header.Peek(wire.HeaderCaller)),
		Key:     text,
		Print:   sum.Sum64(),
	}
}

// atHome returns the home as the target of the next attempt, and whether it is still there.
func (r *request) atHome() (member.Entry, *call.Refusal) {
	ticket := r.home.ticket
	for _, entry := range r.entry.members.Members(r.policy.Service) {
		if entry.ID != ticket.Node {
			continue
		}
		if entry.Incarnation != 0 && entry.Incarnation != ticket.Incarnation {
			return entry, call.NewRefusal(call.OutcomeUnknown, call.ReasonHomeGone).WithDetail("node %s was restarted", ticket.Node).WithFinal()
		}
		entry.Incarnation = ticket.Incarnation

		return entry, nil
	}

	return member.Entry{}, call.NewRefusal(call.OutcomeUnknown, call.ReasonHomeGone).WithDetail("node %s is not known", ticket.Node).WithFinal()
}

// correct corrects the refusal of a process that replaced the target, which cannot know that the call is new.
func (r *request) correct(result Result) Result {
	if r.policy.Once && r.home == nil && result.HasFeedback && result.Reason == call.ReasonWrongIncarnation {
		result.Outcome = call.OutcomeNotRun
	}

	return result
}

// recall looks for the recorded answer of an operation that cannot be asked for at its home.
func (r *request) recall(c context.Context, refusal *call.Refusal) *call.Refusal {
	if c.Err() != nil {
		return refusal
	}
	remembered, err := claim.Recall(c, r.entry.table, r.home.ticket)
	if err != nil {
		return refusal
	}
	answer := &relay.Response{}
	restore(answer, remembered)
	r.decide(trace.Decision{Step: trace.StepResolve, Chosen: r.home.ticket.Node, Outcome: call.OutcomeRan, Reason: call.ReasonDuplicate, Detail: "recorded answer"})
	r.pass(c, member.Entry{ID: r.home.ticket.Node}, answer)

	return nil
}
