package entry

import (
	"context"

	"github.com/pistachiotack/pistachiotack/internal/claim"
	"github.com/pistachiotack/pistachiotack/internal/exec"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/fence"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// maxMoves bounds how often one request gives its key another home.
const maxMoves = 3

// retired reports whether the home has given the operation of the key up for good.
func (r *request) retired(failure *call.Refusal) bool {
	return r.home != nil && r.home.said && failure.Reason == call.ReasonFenced
}

// move gives the key of a refused operation another home, false if it stays where it is.
//
// Only a key can move: whoever repeats it learns the new home from the table. A ticket names its home for good.
func (r *request) move(c context.Context) bool {
	if r.home == nil || r.home.key == nil || !r.home.said || r.moves >= maxMoves {
		return false
	}
	former := r.home.ticket
	if !r.retire(c, former) {
		return false
	}
	r.moves++
	r.op = call.NewID()
	proposed, target, refusal := r.propose(c)
	if refusal != nil {
		r.op = former.Op

		return false
	}
	holder, err := claim.Move(c, r.entry.table, *r.home.key, former, proposed)
	if err != nil || holder != proposed {
		r.release(target, call.ReasonKeyClaimed)
		target = member.Entry{}
	}
	if err != nil {
		r.op = former.Op

		return false
	}
	r.decide(trace.Decision{Step: trace.StepRoute, Chosen: holder.Node, Outcome: call.OutcomeNotRun, Reason: call.ReasonFenced, Detail: "key moved from " + former.Node})
	r.entry.metrics.Counter("keys_moved").Inc(1)
	r.pin(home{ticket: holder, key: r.home.key, chosen: target})

	return true
}

// retire has the home fence the operation for good, and reports whether it did.
func (r *request) retire(c context.Context, ticket claim.Ticket) bool {
	entry, refusal := r.atHome()
	if refusal != nil {
		return false
	}
	opened, err := ticket.Op.CreatedAt()
	if err != nil {
		return false
	}
	c, cancel := context.WithTimeout(c, resolveTimeout)
	defer cancel()
	attempt := fence.Attempt{Op: ticket.Op, Once: true, Opened: opened, Incarnation: ticket.Incarnation}
	var verdict exec.Verdict
	if err := r.entry.control.Call(c, entry.Control, exec.MethodRetire, exec.ResolveArgs{Attempt: attempt}, &verdict); err != nil {
		return false
	}

	return verdict.Outcome == call.OutcomeNotRun
}
