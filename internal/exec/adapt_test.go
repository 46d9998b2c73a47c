package exec_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/exec"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

func item(class call.Class, timeout time.Duration) exec.Item {
	policy := tree.DefaultPolicy()
	policy.Kind = class.String()

	return exec.Item{
		Envelope: call.Envelope{Rank: class.MinRank(), Caller: "a"},
		Policy:   policy,
		Deadline: time.Now().Add(timeout),
	}
}

// TestAdaptiveAdmitterReleasesEverySlot checks that no slot or queue entry is lost when callers give up at any stage.
func TestAdaptiveAdmitterReleasesEverySlot(t *testing.T) {
	a := exec.NewAdaptiveAdmitter(exec.AdaptiveOptions{Slots: 4, Seed: 1}, time.Now())
	var admitted, refused, maxRunning, running atomic.Int64
	var wg sync.WaitGroup
	for i := range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%40)*time.Millisecond)
			defer cancel()
			admission, refusal := a.Admit(ctx, item(call.Class(i%4), time.Second))
			if refusal != nil {
				refused.Add(1)
				require.Equal(t, call.OutcomeNotRun, refusal.Outcome)

				return
			}
			admitted.Add(1)
			if now := running.Add(1); now > maxRunning.Load() {
				maxRunning.Store(now)
			}
			time.Sleep(time.Millisecond)
			running.Add(-1)
			admission.Release(exec.Completion{Latency: time.Millisecond, Load: -1, Status: 200})
		}()
	}
	wg.Wait()
	require.EqualValues(t, 300, admitted.Load()+refused.Load())
	require.Positive(t, admitted.Load())
	require.LessOrEqual(t, maxRunning.Load(), int64(4))
	load := a.Load("bulk")
	require.Zero(t, load.Inflight)
	require.Zero(t, load.Queued)
}

func TestQueuedCallIsRefusedBeforeItsDeadline(t *testing.T) {
	a := exec.NewAdaptiveAdmitter(exec.AdaptiveOptions{Slots: 1, Seed: 1}, time.Now())
	admission, refusal := a.Admit(t.Context(), item(call.ClassNormal, time.Minute))
	require.Nil(t, refusal)
	defer admission.Release(exec.Completion{Load: -1})

	_, refusal = a.Admit(t.Context(), item(call.ClassNormal, time.Minute))
	require.Equal(t, call.ReasonQueueTimeout, refusal.Reason, "long before its deadline")
	require.Positive(t, refusal.RetryAfter)
	require.Contains(t, refusal.Detail, "running 1 of 1")
}
