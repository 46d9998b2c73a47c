package retry_test

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/retry"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var settings = retry.Settings{Ratio: 0.1, Backoff: 20 * time.Millisecond}

func retrier() *retry.Retrier {
	r := retry.New(rand.New(rand.NewPCG(1, 2)))
	r.CountFirstAttempt(settings)

	return r
}

func failure(change func(*retry.Failure)) retry.Failure {
	f := retry.Failure{
		Attempt: 1, Outcome: call.OutcomeUnknown, Reason: call.ReasonBroken, Idempotent: true,
		Credits: 3, Remaining: time.Second, UntriedTargets: 2,
	}
	change(&f)

	return f
}

func TestDecide(t *testing.T) {
	for name, test := range map[string]struct {
		change    func(*retry.Failure)
		wantRetry bool
		reason    call.Reason
	}{
		"connection broken":        {func(*retry.Failure) {}, true, retry.ReasonRetry},
		"not idempotent, unknown":  {func(f *retry.Failure) { f.Idempotent = false }, false, retry.ReasonOnceUnknown},
		"not idempotent, not run":  {func(f *retry.Failure) { f.Idempotent = false; f.Outcome = call.OutcomeNotRun }, true, retry.ReasonRetry},
		"final downstream":         {func(f *retry.Failure) { f.Final = true }, false, retry.ReasonFinal},
		"no credits":               {func(f *retry.Failure) { f.Credits = 0 }, false, call.ReasonNoCredits},
		"deadline passed":          {func(f *retry.Failure) { f.Remaining = 0 }, false, retry.ReasonNoTimeLeft},
		"too little time left":     {func(f *retry.Failure) { f.ExpectedDuration = 3 * time.Second }, false, retry.ReasonNoTimeLeft},
		"draining":                 {func(f *retry.Failure) { f.Outcome = call.OutcomeNotRun; f.Reason = call.ReasonDraining }, true, retry.ReasonMove},
		"below threshold":          {func(f *retry.Failure) { f.Outcome = call.OutcomeNotRun; f.Reason = call.ReasonThreshold }, false, retry.ReasonNotRetryable},
		"requested delay too long": {func(f *retry.Failure) { f.RetryAfter = 2 * time.Second; f.UntriedTargets = 0 }, false, retry.ReasonRetryAfterTooLong},
		"deadline cannot be met":   {func(f *retry.Failure) { f.Reason = call.ReasonHopeless }, false, retry.ReasonNotRetryable},
		"cancelled by the caller":  {func(f *retry.Failure) { f.Reason = call.ReasonCancelled }, false, retry.ReasonNotRetryable},
		"full queue, other target": {func(f *retry.Failure) { f.Outcome = call.OutcomeNotRun; f.Reason = call.ReasonQueueFull }, true, retry.ReasonRetry},
	} {
		t.Run(name, func(t *testing.T) {
			d := retrier().Decide(settings, failure(test.change))
			require.Equal(t, test.wantRetry, d.Retry)
			require.Equal(t, test.reason, d.Reason)
		})
	}
}

func TestBackoffGrowsWithJitter(t *testing.T) {
	r := retrier()
	seen := map[time.Duration]bool{}
	for attempt := 1; attempt <= 5; attempt++ {
		for range 20 {
			r.CountFirstAttempt(retry.Settings{Ratio: 1})
			d := r.Decide(settings, failure(func(f *retry.Failure) { f.Attempt = attempt }))
			mean := settings.Backoff << (attempt - 1)
			require.InDelta(t, mean, d.Delay, 0.76*float64(mean))
			seen[d.Delay] = true
		}
	}
	require.Greater(t, len(seen), 90)
}

func TestRetriesStayWithinTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		s := retry.Settings{Ratio: ratio, Backoff: time.Millisecond}
		r := retry.New(rand.New(rand.NewPCG(1, 2)))
		firsts, retried := 0, 0
		for _, first := range rapid.SliceOfN(rapid.Bool(), 1, 400).Draw(t, "events") {
			if first {
				r.CountFirstAttempt(s)
				firsts++
			} else if r.Decide(s, failure(func(*retry.Failure) {})).Retry {
				retried++
			}
			require.LessOrEqual(t, float64(retried), math.Ceil(ratio*float64(firsts)+1e-9))
		}
		counted, retries := r.Counts()
		require.Equal(t, firsts, counted)
		require.Equal(t, retried, retries)
	})
}

func TestNonIdempotentCallIsNotRetriedUnlessNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := retrier().Decide(settings, retry.Failure{
			Attempt: rapid.IntRange(1, 9).Draw(t, "attempt"),
			Outcome: rapid.SampledFrom([]call.Outcome{call.OutcomeUnknown, call.OutcomeRan, ""}).Draw(t, "outcome"),
			Reason: rapid.SampledFrom([]call.Reason{
				call.ReasonDraining, call.ReasonConnect, call.ReasonBroken, call.ReasonSilent, call.ReasonBackendFault,
			}).Draw(t, "reason"),
			Credits: 5, Remaining: time.Minute, UntriedTargets: rapid.IntRange(0, 3).Draw(t, "others"),
		})
		require.False(t, d.Retry)
	})
}

func BenchmarkDecide(b *testing.B) {
	r := retrier()
	f := failure(func(*retry.Failure) {})
	for range b.N {
		r.CountFirstAttempt(settings)
		r.Decide(settings, f)
	}
}
