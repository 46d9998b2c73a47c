package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/entry"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

type decisionRecorder struct{ decisions []trace.Decision }

func (r *decisionRecorder) Record(d trace.Decision) { r.decisions = append(r.decisions, d) }

func fleet() []member.Entry {
	var members []member.Entry
	for _, id := range []string{"a", "b", "c"} {
		members = append(members, member.Entry{ID: id, Incarnation: 1, DataCentre: "hal-a", State: member.StateServing, Slots: 10})
	}

	return members
}

// Errors of services that the target calls, cancellations by the caller and refusals under overload must not eject the target.
func TestOnlyFaultsOfTheTargetEjectIt(t *testing.T) {
	for name, test := range map[string]struct {
		result  entry.Result
		ejected bool
	}{
		"fault":                       {entry.Result{Outcome: call.OutcomeRan, Status: 500, HasFeedback: true}, true},
		"refusal by a called service": {entry.Result{Outcome: call.OutcomeRan, Status: 503, HasFeedback: true, Feedback: call.Feedback{Final: true}}, false},
		"unresponsive backend server": {entry.Result{Outcome: call.OutcomeUnknown, Reason: call.ReasonCancelled, Unresponsive: true}, true},
		"cancelled by the caller":     {entry.Result{Outcome: call.OutcomeUnknown, Reason: call.ReasonCancelled}, false},
		"overload":                    {entry.Result{Outcome: call.OutcomeNotRun, Reason: call.ReasonQueueFull}, false},
	} {
		t.Run(name, func(t *testing.T) {
			recorder := &decisionRecorder{}
			chooser := entry.NewAdaptiveChooser(entry.AdaptiveOptions{Node: "n", DataCentre: "hal-a", Seed: 1, Tracer: recorder})
			policy := tree.DefaultPolicy()
			policy.Service = "keuring"
			now, members := time.Now(), fleet()
			query := entry.Query{Service: "keuring", Policy: policy, Rank: call.ClassHigh.MinRank(), Tried: []string{"b", "c"}}
			for range policy.EjectAfter {
				choice, refusal := chooser.Choose(now, query, members)
				require.Nil(t, refusal)
				require.Equal(t, "a", choice.Target.ID)
				result := test.result
				result.Service, result.Target, result.Incarnation = "keuring", choice.Target.ID, 1
				chooser.Done(now, result)
			}
			require.Equal(t, test.ejected, len(recorder.decisions) == 1)
			if test.ejected {
				require.Equal(t, trace.StepEject, recorder.decisions[0].Step)
				require.Equal(t, "a", recorder.decisions[0].Chosen)
			}
		})
	}
}

func TestAdaptiveRetrierKeepsEachServiceToItsBudget(t *testing.T) {
	retrier := entry.NewAdaptiveRetrier(1)
	policy := tree.DefaultPolicy()
	policy.Idempotent = true
	failure := entry.Failure{
		Service: "keuring", Policy: policy, Attempt: 1, Outcome: call.OutcomeUnknown, Reason: call.ReasonBroken,
		Remaining: time.Second, Credits: 3, UntriedTargets: 2,
	}
	retrier.CountFirstAttempt(time.Now(), "keuring", 0.1)
	require.True(t, retrier.Decide(time.Now(), failure).Retry)
	require.Equal(t, call.ReasonRetryBudget, retrier.Decide(time.Now(), failure).Reason)
	failure.Service = "alarm"
	retrier.CountFirstAttempt(time.Now(), "alarm", 0.1)
	require.True(t, retrier.Decide(time.Now(), failure).Retry)
	failure.Policy.Once = true
	require.False(t, retrier.Decide(time.Now(), failure).Retry)
}
