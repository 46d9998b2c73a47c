package entry

import (
	"sync/atomic"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Query describes an attempt that needs a target.
type Query struct {
	Root    call.Root
	Service string
	Rank    call.Rank
	Policy  tree.Policy
	// Tried lists the IDs of the targets of the earlier attempts.
	Tried []string
}

// Choice is the target selected for one attempt, with the candidates and the reason for the decision log.
type Choice struct {
	Target     member.Entry
	Candidates []string
	Reason     call.Reason
	Detail     string
}

// Result is the result of one attempt, as seen by the entry node.
type Result struct {
	Service string
	Kind    string
	Target  string
	// Incarnation is the incarnation of the target when it was selected, zero if unknown.
	Incarnation uint64

	Outcome call.Outcome
	Reason  call.Reason
	Latency time.Duration
	// Unresponsive reports that the attempt ended with an unknown outcome, by its deadline or a cancellation, after more than
	// the progress time of the policy. This points to a backend server that hangs while its executing node responds.
	Unresponsive bool
	// Status is the HTTP status of the response, zero without a response.
	Status      int
	HasFeedback bool
	Feedback    call.Feedback
}

// forTarget returns the result with service, kind, target and incarnation set.
func (r Result) forTarget(policy tree.Policy, target member.Entry) Result {
	r.Service = policy.Service
	r.Kind = policy.Kind
	r.Target = target.ID
	r.Incarnation = target.Incarnation

	return r
}

// Chooser selects the targets of attempts, and takes their results into account.
type Chooser interface {
	// Choose selects one of the members, or returns a refusal. Each choice must be followed by one call of Done.
	Choose(now time.Time, query Query, members []member.Entry) (Choice, *call.Refusal)
	Done(now time.Time, result Result)
}

// RoundRobin is the chooser of the baseline policy: it selects the targets in turn, whatever the results of earlier attempts.
type RoundRobin struct {
	next atomic.Uint64
}

// NewRoundRobin returns a RoundRobin.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{}
}

// Choose selects the next target that accepts calls.
func (r *RoundRobin) Choose(_ time.Time, _ Query, members []member.Entry) (Choice, *call.Refusal) {
	usable := make([]member.Entry, 0, len(members))
	names := make([]string, 0, len(members))
	for _, entry := range members {
		if entry.AcceptsCalls() {
			usable = append(usable, entry)
			names = append(names, entry.ID)
		}
	}
	if len(usable) == 0 {
		return Choice{}, call.NewRefusal(call.OutcomeNotRun, call.ReasonNoTarget)
	}
	index := r.next.Add(1) % uint64(len(usable))

	return Choice{Target: usable[index], Candidates: names, Reason: call.ReasonOK}, nil
}

// Done ignores the result.
func (r *RoundRobin) Done(time.Time, Result) {}
