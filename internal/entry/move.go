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

// maxMoves is the maximum number of times that one request moves its key to another home.
const maxMoves = 3

// operationRetired reports whether the home has fenced the operation for good.
func (r *request) operationRetired(failure *call.Refusal) bool {
	return r.home != nil && r.home.reported && failure.Reason == call.ReasonFenced
}

// moveKey moves the key of a refused operation to another home, and reports whether it did.
//
// Only an idempotency key can move, as a retry with the key reads the new home from the table. A ticket always names the same
// home.
func (r *request) moveKey(c context.Context) bool {
	if r.home == nil || r.home.key == nil || !r.home.reported || r.moves >= maxMoves {
		return false
	}
	former := r.home.ticket
	if !r.retireOperation(c, former) {
		return false
	}
	r.moves++
	r.op = call.NewID()
	proposed, target, refusal := r.proposeHome(c)
	if refusal != nil {
		r.op = former.Op

		return false
	}
	holder, err := claim.Move(c, r.entry.table, *r.home.key, former, proposed)
	if err != nil || holder != proposed {
		r.releaseTarget(target, call.ReasonKeyClaimed)
		target = member.Entry{}
	}
	if err != nil {
		r.op = former.Op

		return false
	}
	r.logDecision(trace.Decision{Step: trace.StepRoute, Chosen: holder.Node, Outcome: call.OutcomeNotRun, Reason: call.ReasonFenced, Detail: "key moved from " + former.Node})
	r.entry.metrics.Counter("keys_moved").Inc(1)
	r.setHome(home{ticket: holder, key: r.home.key, chosen: target})

	return true
}

// retireOperation makes the home fence the operation for good, and reports whether it is certain not to run.
func (r *request) retireOperation(c context.Context, ticket claim.Ticket) bool {
	entry, refusal := r.homeTarget()
	if refusal != nil {
		return false
	}
	createdAt, err := ticket.Op.CreatedAt()
	if err != nil {
		return false
	}
	c, cancel := context.WithTimeout(c, resolveTimeout)
	defer cancel()
	attempt := fence.Attempt{Op: ticket.Op, Once: true, Opened: createdAt, Incarnation: ticket.Incarnation}
	var verdict exec.Verdict
	if err := r.entry.control.Call(c, entry.Control, exec.MethodRetire, exec.ResolveArgs{Attempt: attempt}, &verdict); err != nil {
		return false
	}

	return verdict.Outcome == call.OutcomeNotRun
}
