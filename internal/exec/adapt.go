package exec

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/pkg/admit"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/limit"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

const (
	// tickInterval is how often waiting calls are looked through for those that waited too long.
	tickInterval = 5 * time.Millisecond
	statusFault  = 500
	statusLate   = 504
)

// AdaptiveOptions are the fixed properties of the adaptive admitter.
type AdaptiveOptions struct {
	Service string
	Slots   int
	Seed    uint64
	Tracer  Tracer
}

// AdaptiveAdmitter admits by importance, under a limit that follows the backend server.
type AdaptiveAdmitter struct {
	options AdaptiveOptions

	mu      sync.Mutex
	gate    *admit.Gate
	limiter *limit.Limiter
	bounds  limit.Bounds
	kinds   *admit.KindThresholds
	sizes   sizes
	waiters map[call.ID]chan admit.Decision
	next    uint64
	ticked  time.Time
}

// NewAdaptiveAdmitter returns an admitter for a backend server with that many slots.
func NewAdaptiveAdmitter(options AdaptiveOptions, now time.Time) *AdaptiveAdmitter {
	policy := tree.DefaultPolicy()
	bounds := boundsOf(policy, options.Slots)
	limiter := limit.New(bounds, now)
	rng := rand.New(rand.NewPCG(options.Seed, 1))

	return &AdaptiveAdmitter{
		options: options,
		gate:    admit.New(gateSettings(policy), limiter.Limit(), rng),
		limiter: limiter,
		bounds:  bounds,
		kinds:   admit.NewKindThresholds(),
		sizes:   sizes{},
		waiters: map[call.ID]chan admit.Decision{},
	}
}

// Admit returns once the call may run, or with the refusal.
func (a *AdaptiveAdmitter) Admit(ctx context.Context, item Item) (Admission, *call.Refusal) {
	id, decided := a.offer(item)
	decision := a.await(ctx, id, decided)
	if decision.Verdict != admit.Run {
		refusal := call.NewRefusal(call.OutcomeNotRun, decision.Reason).WithRetryAfter(decision.RetryAfter)

		return Admission{}, refusal.WithDetail("%s", detail(decision))
	}
	admission := Admission{Reason: decision.Reason, Detail: detail(decision)}
	admission.Release = func(finished Completion) { a.release(id, item, decision.Running, finished) }

	return admission, nil
}

// Load returns the load at this moment, with the rank below which calls of the kind are in vain.
func (a *AdaptiveAdmitter) Load(kind string) Load {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	load := a.gate.Load()

	return Load{
		Threshold:     load.Threshold,
		KindThreshold: a.kinds.Threshold(now, kind),
		Inflight:      load.Running,
		Queued:        load.Queued,
		Limit:         load.Limit,
	}
}

func (a *AdaptiveAdmitter) offer(item Item) (call.ID, <-chan admit.Decision) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()

	a.next++
	id := call.ID(strconv.FormatUint(a.next, 36))
	decided := make(chan admit.Decision, 1)
	a.waiters[id] = decided
	a.gate.SetSettings(gateSettings(item.Policy))
	a.adjust(now, item.Policy)
	a.deliver(a.gate.Offer(now, admit.Item{
		Op:       id,
		Rank:     item.Envelope.Rank,
		Kind:     item.Policy.Kind,
		Caller:   item.Envelope.Caller,
		Deadline: item.Deadline,
		Stream:   item.Policy.Stream,
		Bytes:    a.sizes.expect(item),
	}))

	return id, decided
}

// adjust takes bounds that the settings have changed.
func (a *AdaptiveAdmitter) adjust(now time.Time, policy tree.Policy) {
	bounds := boundsOf(policy, a.options.Slots)
	if bounds == a.bounds {
		return
	}
	a.bounds = bounds
	if change, changed := a.limiter.SetBounds(bounds); changed {
		a.apply(now, change)
	}
}

// await waits for the final decision on a call, and looks through the queue meanwhile.
func (a *AdaptiveAdmitter) await(ctx context.Context, id call.ID, decided <-chan admit.Decision) admit.Decision {
	select {
	case decision := <-decided:
		return decision
	default:
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case decision := <-decided:
			return decision
		case now := <-ticker.C:
			a.tick(now)
		case <-ctx.Done():
			return a.abandon(ctx, id, decided)
		}
	}
}

func (a *AdaptiveAdmitter) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.ticked) < tickInterval {
		return
	}
	a.ticked = now
	a.deliver(a.gate.Tick(now))
}

// abandon takes a call whose caller left out of the queue, unless it was decided at the same moment.
func (a *AdaptiveAdmitter) abandon(ctx context.Context, id call.ID, decided <-chan admit.Decision) admit.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case decision := <-decided:
		return decision
	default:
	}
	delete(a.waiters, id)
	a.deliver(a.gate.Release(time.Now(), id, admit.ResultOther))
	reason := call.ReasonQueueTimeout
	if ctx.Err() == context.Canceled {
		reason = call.ReasonCancelled
	}

	return admit.Decision{Verdict: admit.Refuse, Reason: reason}
}

// deliver hands final decisions to those who wait for them; the caller holds the lock.
func (a *AdaptiveAdmitter) deliver(decisions []admit.Decision) {
	for _, decision := range decisions {
		if decision.Verdict == admit.Wait {
			continue
		}
		if decided, waits := a.waiters[decision.Op]; waits {
			delete(a.waiters, decision.Op)
			decided <- decision
		}
	}
}

func (a *AdaptiveAdmitter) release(id call.ID, item Item, inflight int, finished Completion) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()

	if finished.DownstreamThreshold > 0 {
		a.kinds.ObserveRefusal(now, item.Policy.Kind, item.Envelope.Rank, finished.DownstreamThreshold)
	} else if verdictOf(finished) == limit.ResultOK {
		a.kinds.ObserveSuccess(now, item.Policy.Kind, item.Envelope.Rank)
	}
	if finished.Load >= 0 {
		a.limiter.ReportLoad(now, finished.Load)
	}
	if !item.Policy.Stream {
		a.sizes.learn(item.Policy.Kind, finished.Bytes)
		sample := limit.Sample{Kind: item.Policy.Kind, Latency: finished.Latency, Inflight: inflight, Result: verdictOf(finished)}
		if change, changed := a.limiter.Observe(now, sample); changed {
			a.apply(now, change)
		}
	}
	a.deliver(a.gate.Release(now, id, resultOf(finished)))
}

func (a *AdaptiveAdmitter) apply(now time.Time, change limit.Change) {
	a.deliver(a.gate.SetLimit(now, change.Limit))
	if a.options.Tracer == nil {
		return
	}
	a.options.Tracer.Decide(trace.Decision{
		Time:    now,
		Step:    trace.StepLimit,
		Service: a.options.Service,
		Reason:  change.Reason,
		Detail:  strconv.Itoa(change.Before) + " to " + strconv.Itoa(change.Limit) + ", slowness " + strconv.FormatFloat(change.Slowness, 'f', 2, 64),
		Took:    change.Latency,
	})
}

func verdictOf(finished Completion) limit.Result {
	switch {
	case finished.Shed:
		return limit.ResultShed
	case finished.DeadlineExceeded:
		return limit.ResultDeadlineExceeded
	case finished.Failed || finished.Status >= statusFault:
		return limit.ResultError
	}

	return limit.ResultOK
}

func resultOf(finished Completion) admit.Result {
	switch verdictOf(finished) {
	case limit.ResultOK:
		return admit.ResultOK
	case limit.ResultDeadlineExceeded:
		return admit.ResultDeadlineExceeded
	case limit.ResultShed, limit.ResultError:
	}

	return admit.ResultOther
}

func detail(d admit.Decision) string {
	return "waited " + d.Waited.String() + ", running " + strconv.Itoa(d.Running) + " of " + strconv.Itoa(d.Limit) +
		", queued " + strconv.Itoa(d.Queued) + ", threshold " + strconv.Itoa(int(d.Threshold))
}

func gateSettings(policy tree.Policy) admit.Settings {
	return admit.Settings{
		QueueLength: policy.QueueLength,
		QueueWait:   policy.QueueWait,
		StreamShare: policy.StreamShare,
		BufferTotal: policy.BufferTotal,
		RetryAfter:  policy.RetryAfter,
	}
}

func boundsOf(policy tree.Policy, slots int) limit.Bounds {
	bounds := limit.Bounds{Min: policy.LimitMin, Max: slots}
	if policy.LimitMax > 0 && (slots <= 0 || policy.LimitMax < slots) {
		bounds.Max = policy.LimitMax
	}

	return bounds
}
