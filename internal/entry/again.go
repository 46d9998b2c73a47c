package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/retry"
)

// AdaptiveRetrier allows a retry if it can succeed and the retry budget of the service has room. It is safe for concurrent use.
type AdaptiveRetrier struct {
	seed uint64

	mu       sync.Mutex
	retriers map[string]*retry.Retrier
}

// NewAdaptiveRetrier returns a retrier with empty budgets.
func NewAdaptiveRetrier(seed uint64) *AdaptiveRetrier {
	return &AdaptiveRetrier{seed: seed, retriers: map[string]*retry.Retrier{}}
}

// CountFirstAttempt adds ratio to the retry budget of the service.
func (a *AdaptiveRetrier) CountFirstAttempt(_ time.Time, service string, ratio float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retrier(service).CountFirstAttempt(retry.Settings{Ratio: ratio})
}

// Decide returns whether the failed attempt is retried, and charges the retry budget if so.
func (a *AdaptiveRetrier) Decide(_ time.Time, failure Failure) RetryDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	settings := retry.Settings{Ratio: failure.Policy.RetryRatio, Backoff: failure.Policy.RetryBackoff}
	decision := a.retrier(failure.Service).Decide(settings, retry.Failure{
		Attempt:        failure.Attempt,
		Outcome:        failure.Outcome,
		Reason:         failure.Reason,
		Final:          failure.Final,
		RetryAfter:     failure.RetryAfter,
		Idempotent:     failure.Policy.Idempotent && !failure.Policy.Once,
		Credits:        failure.Credits,
		Remaining:      failure.Remaining,
		UntriedTargets: failure.UntriedTargets,
	})

	return RetryDecision{Retry: decision.Retry, Delay: decision.Delay, Reason: decision.Reason}
}

func (a *AdaptiveRetrier) retrier(service string) *retry.Retrier {
	retrier := a.retriers[service]
	if retrier == nil {
		retrier = retry.New(rand.New(rand.NewPCG(a.seed, uint64(len(a.retriers)))))
		a.retriers[service] = retrier
	}

	return retrier
}
