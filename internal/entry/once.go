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
	// maxFirstAttemptNumber is the upper bound of the random number at which the attempt numbers of a request start. Several
	// entry nodes may send attempts of one once operation, and the random start keeps their numbers apart.
	maxFirstAttemptNumber = 1 << 30
)

// home binds a once operation to the node incarnation that may run it.
type home struct {
	ticket claim.Ticket
	// key is the idempotency key for which the operation was claimed, nil if the request named a ticket.
	key *claim.Key
	// chosen is the home if the chooser selected it for this request and awaits the result, else empty.
	chosen member.Entry
	// reported is true if the home itself reported the outcome of the latest attempt.
	reported bool
}

// runOnce serves a call of a once kind. A call with a ticket or an idempotency key goes to its home; a root request without
// either gets a ticket by redirect, and any other call runs like a call of another kind.
func (r *request) runOnce(c context.Context) *call.Refusal {
	ticket, hasTicket, refusal := r.takeTicket()
	if refusal != nil {
		return refusal
	}
	key, err := wire.SingleValue(&r.http.Request.Header, wire.HeaderIdempotencyKey)
	if err != nil {
		return badRequestRefusal(err)
	}
	r.mayHaveRun = hasTicket || key != ""
	if refusal = r.validate(); refusal != nil {
		return r.adjustOutcome(refusal)
	}
	r.mayHaveRun = false
	switch {
	case hasTicket:
		r.setHome(home{ticket: ticket})
	case key != "":
		if refusal = r.claimKey(c, key); refusal != nil {
			return refusal
		}
	case r.scope.Depth == 0:
		return r.issueTicket(c)
	}
	refusal = r.run(c)
	if refusal == nil || r.home == nil || refusal.Outcome != call.OutcomeUnknown {
		return refusal
	}

	return r.recallResponse(c, refusal)
}

// takeTicket parses the ticket in the URL and removes it, so that the backend server receives the URL without the ticket. It
// reports false if there is none.
func (r *request) takeTicket() (claim.Ticket, bool, *call.Refusal) {
	request := &r.http.Request
	path, query, _ := strings.Cut(string(request.Header.RequestURI()), "?")
	params := make([]string, 0)
	rawTicket := ""
	for part := range strings.SplitSeq(query, "&") {
		if value, found := strings.CutPrefix(part, wire.QueryTicket+"="); found {
			rawTicket = value

			continue
		}
		params = append(params, part)
	}
	if rawTicket == "" {
		return claim.Ticket{}, false, nil
	}
	if rest := strings.Join(params, "&"); rest != "" {
		path += "?" + rest
	}
	request.SetRequestURI(path)
	rawTicket, err := url.QueryUnescape(rawTicket)
	if err != nil {
		return claim.Ticket{}, false, badRequestRefusal(err)
	}
	ticket, err := claim.ParseTicket(rawTicket)
	if err != nil {
		return claim.Ticket{}, false, badRequestRefusal(err)
	}

	return ticket, true, nil
}

func badRequestRefusal(err error) *call.Refusal {
	return call.NewRefusal(call.OutcomeNotRun, call.ReasonBadRequest).WithDetail("%v", err)
}

// setTicketHeader adds the ticket to the response if the caller sent one. A caller with a key gets none, as the key may move
// to another ticket.
func (r *request) setTicketHeader() {
	if r.home != nil && r.home.key == nil {
		wire.SetField(&r.http.Response.Header, wire.HeaderTicket, r.home.ticket.String())
	}
}

// setHome binds the request to the home and uses the operation ID of its ticket.
func (r *request) setHome(h home) {
	r.home = &h
	r.op = h.ticket.Op
	r.attemptBase = rand.IntN(maxFirstAttemptNumber)
}

// proposeHome selects a home for a new operation. The returned target must be reported to the chooser, unless there is a
// refusal.
func (r *request) proposeHome(c context.Context) (claim.Ticket, member.Entry, *call.Refusal) {
	choice, refusal := r.chooseTarget(time.Now())
	if refusal != nil {
		return claim.Ticket{}, member.Entry{}, refusal
	}
	target := r.withIncarnation(c, choice.Target)
	if target.Incarnation == 0 {
		r.releaseTarget(choice.Target, call.ReasonConnect)

		return claim.Ticket{}, member.Entry{}, call.NewRefusal(call.OutcomeNotRun, call.ReasonConnect)
	}

	return claim.Ticket{Op: r.op, Node: target.ID, Incarnation: target.Incarnation}, choice.Target, nil
}

// releaseTarget reports to the chooser that no attempt was sent to the selected target.
func (r *request) releaseTarget(target member.Entry, reason call.Reason) {
	result := Result{Outcome: call.OutcomeNotRun, Reason: reason}
	r.entry.options.Chooser.Done(time.Now(), result.forTarget(r.policy, target))
}

// identify queries the target for its incarnation, and returns zero if it doesn't respond.
func (r *request) identify(c context.Context, target member.Entry) uint64 {
	c, cancel := context.WithTimeout(c, resolveTimeout)
	defer cancel()
	var identity exec.Identity
	if err := r.entry.control.Call(c, target.Control, exec.MethodIdentify, exec.IdentifyArgs{}, &identity); err != nil {
		return 0
	}
	r.entry.incarnations.record(target, identity.Incarnation)

	return identity.Incarnation
}

// issueTicket redirects the caller to its URL with a new ticket, which names the operation and its home.
func (r *request) issueTicket(c context.Context) *call.Refusal {
	ticket, target, refusal := r.proposeHome(c)
	if refusal != nil {
		return refusal
	}
	r.releaseTarget(target, call.ReasonNeedsTicket)
	r.entry.metrics.Counter("tickets").Inc(1)
	location := string(r.http.Request.Header.RequestURI())
	separator := "?"
	if strings.Contains(location, separator) {
		separator = "&"
	}
	out := &r.http.Response
	out.SetStatusCode(statusRedirect)
	wire.SetField(&out.Header, "Location", location+separator+wire.QueryTicket+"="+url.QueryEscape(ticket.String()))
	wire.SetField(&out.Header, wire.HeaderOutcome, string(call.OutcomeNotRun))
	wire.SetField(&out.Header, wire.HeaderOperation, string(r.op))
	r.logDecision(trace.Decision{Step: trace.StepRoute, Chosen: target.ID, Outcome: call.OutcomeNotRun, Reason: call.ReasonNeedsTicket})

	return nil
}

// claimKey claims the idempotency key for a new operation, and binds the request to the operation that holds the key.
func (r *request) claimKey(c context.Context, text string) *call.Refusal {
	if len(text) > claim.MaxKeyBytes {
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonBadRequest).WithDetail("key is longer than %d bytes", claim.MaxKeyBytes)
	}
	key := r.newClaimKey(text)
	proposed, target, refusal := r.proposeHome(c)
	if refusal != nil {
		return r.useEarlierClaim(c, key, refusal)
	}
	holder, claimed, err := claim.Claim(c, r.entry.table, key, proposed)
	if err != nil || !claimed {
		r.releaseTarget(target, call.ReasonKeyClaimed)
		target = member.Entry{}
	}
	if err != nil {
		return r.claimRefusal(err)
	}
	r.setHome(home{ticket: holder, key: &key, chosen: target})

	return nil
}

// useEarlierClaim binds the request to an earlier claim of the key if no home could be selected for a new one. Without an
// earlier claim it returns the given refusal.
func (r *request) useEarlierClaim(c context.Context, key claim.Key, refusal *call.Refusal) *call.Refusal {
	holder, err := claim.Lookup(c, r.entry.table, key)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return refusal
	case err != nil:
		return r.claimRefusal(err)
	}
	r.setHome(home{ticket: holder, key: &key})

	return nil
}

// claimRefusal returns the refusal for a key that belongs to another request, or whose claim can't be read or written. In the
// latter case the outcome is unknown, as an earlier request with the key may have run.
func (r *request) claimRefusal(err error) *call.Refusal {
	if errors.Is(err, claim.ErrKeyReused) {
		return call.NewRefusal(call.OutcomeNotRun, call.ReasonKeyClaimed).WithDetail("%v", err).WithFinal()
	}

	return call.NewRefusal(call.OutcomeUnknown, call.ReasonTableAway).
		WithDetail("this request was not sent; whether an earlier one with the key ran cannot be told: %v", err).
		WithRetryAfter(r.policy.RetryAfter)
}

// newClaimKey returns the key with a digest of the request, which detects the use of one key for different requests.
func (r *request) newClaimKey(text string) claim.Key {
	in := &r.http.Request
	sum := xxhash.New()
	_, _ = sum.Write(in.Header.Method())
	_, _ = sum.Write(in.Header.RequestURI())
	_, _ = sum.Write(in.Body())

	return claim.Key{
		Service: r.policy.Service,
		Caller:  string(in.Header.Peek(wire.HeaderCaller)),
		Key:     text,
		Digest:  sum.Sum64(),
	}
}

// homeTarget returns the home as the target of the next attempt, or a refusal if its node was restarted or isn't a member.
func (r *request) homeTarget() (member.Entry, *call.Refusal) {
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

// correctOutcome changes the outcome to notRun if a restarted target refused a once operation without a home. The new process
// can't know that the operation is new, so it reports an unknown outcome.
func (r *request) correctOutcome(result Result) Result {
	if r.policy.Once && r.home == nil && result.HasFeedback && result.Reason == call.ReasonWrongIncarnation {
		result.Outcome = call.OutcomeNotRun
	}

	return result
}

// recallResponse forwards the recorded response of an operation whose home can't be queried, or returns the given refusal if
// none is found.
func (r *request) recallResponse(c context.Context, refusal *call.Refusal) *call.Refusal {
	if c.Err() != nil {
		return refusal
	}
	stored, err := claim.LookupResponse(c, r.entry.table, r.home.ticket)
	if err != nil {
		return refusal
	}
	resp := &relay.Response{}
	setResponse(resp, stored)
	r.logDecision(trace.Decision{Step: trace.StepResolve, Chosen: r.home.ticket.Node, Outcome: call.OutcomeRan, Reason: call.ReasonDuplicate, Detail: "recorded answer"})
	r.forward(c, member.Entry{ID: r.home.ticket.Node}, resp)

	return nil
}
