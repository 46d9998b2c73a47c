package entry

import (
	"sync/atomic"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Query asks for the target of one attempt.
type Query struct {
	Root    call.Root
	Service string
	Rank    call.Rank
	Policy  tree.Policy
	// Tried names the targets of the earlier attempts.
	Tried []string
}

// Choice is the target of one attempt, with what it was chosen from.
type Choice struct {
	Target     member.Entry
	Candidates []string
	Reason     call.Reason
	Detail     string
}

// Result is what an entry saw of one attempt.
type Result struct {
	Service string
	Kind    string
	Target  string
	// Incarnation is the one of the target that was chosen.
	Incarnation uint64

	Outcome call.Outcome
	Reason  call.Reason
	Latency    time.Duration
	// Unresponsive says that the attempt was given up after more than the progress time, while its executing node answered.
	Unresponsive bool
	// Status is the HTTP status of an answer, zero if none came.
	Status      int
	HasFeedback bool
	Feedback    call.Feedback
}

// of returns the result with the target that it is about.
func (r Result) of(policy tree.Policy, target member.Entry) Result {
	r.Service = policy.Service
	r.Kind = policy.Kind
	r.Target = target.ID
	r.Incarnation = target.Incarnation

	return r
}

// Chooser picks targets and learns from what became of the attempts.
type Chooser interface {
	// Choose picks among the members, or refuses; each choice must be followed by one Done.
	Choose(now time.Time, query Query, members []member.Entry) (Choice, *call.Refusal)
	Done(now time.Time, result Result)
}

// RoundRobin is the baseline: each target in turn, whatever became of earlier attempts.
type RoundRobin struct {
	next atomic.Uint64
}

// NewRoundRobin returns a chooser that starts with the first target.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{}
}

// Choose picks the next target that takes work.
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
	turn := r.next.Add(1) % uint64(len(usable))

	return Choice{Target: usable[turn], Candidates: names, Reason: call.ReasonOK}, nil
}

// Done learns nothing.
func (r *RoundRobin) Done(time.Time, Result) {}
