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
	// tickInterval is the minimum time between two checks of the queue for calls that have waited too long.
	tickInterval          = 5 * time.Millisecond
	statusServerError     = 500
	statusTooManyRequests = 429
	statusGatewayTimeout  = 504
)

// AdaptiveOptions configure an AdaptiveAdmitter.
type AdaptiveOptions struct {
	Service string
	// Slots is the number of calls that the backend server can run at once, zero if unknown.
	Slots int
	Seed  uint64
	// Tracer may be nil.
	Tracer Tracer
}

// AdaptiveAdmitter admits calls by rank, under a concurrency limit that adapts to the latency and errors of the backend server.
type AdaptiveAdmitter struct {
	options AdaptiveOptions

	mu             sync.Mutex
	gate           *admit.Gate
	limiter        *limit.Limiter
	bounds         limit.Bounds
	kindThresholds *admit.KindThresholds
	responseSizes  responseSizes
	waiters        map[call.ID]chan admit.Decision
	lastID         uint64
	lastTick       time.Time
}

// NewAdaptiveAdmitter returns an admitter with the default policy. The policy of each submitted call replaces it.
func NewAdaptiveAdmitter(options AdaptiveOptions, now time.Time) *AdaptiveAdmitter {
	policy := tree.DefaultPolicy()
	bounds := limitBounds(policy, options.Slots)
	limiter := limit.New(bounds, now)
	rng := rand.New(rand.NewPCG(options.Seed, 1))

	return &AdaptiveAdmitter{
		options:        options,
		gate:           admit.New(gateSettings(policy), limiter.Limit(), rng),
		limiter:        limiter,
		bounds:         bounds,
		kindThresholds: admit.NewKindThresholds(),
		responseSizes:  responseSizes{},
		waiters:        map[call.ID]chan admit.Decision{},
	}
}

// Admit blocks until the call may run or is refused.
func (a *AdaptiveAdmitter) Admit(ctx context.Context, item Item) (Admission, *call.Refusal) {
	id, decided := a.offer(item)
	decision := a.waitForDecision(ctx, id, decided)
	if decision.Verdict != admit.Run {
		refusal := call.NewRefusal(call.OutcomeNotRun, decision.Reason).WithRetryAfter(decision.RetryAfter)

		return Admission{}, refusal.WithDetail("%s", decisionDetail(decision))
	}
	admission := Admission{Reason: decision.Reason, Detail: decisionDetail(decision)}
	admission.Release = func(completion Completion) { a.release(id, item, decision.Running, completion) }

	return admission, nil
}

// Load returns the current load, and the lowest rank for which calls of the kind are worth running.
func (a *AdaptiveAdmitter) Load(kind string) Load {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	load := a.gate.Load()

	return Load{
		Threshold:     load.Threshold,
		KindThreshold: a.kindThresholds.Threshold(now, kind),
		Inflight:      load.Running,
		Queued:        load.Queued,
		Limit:         load.Limit,
	}
}

// offer submits a call to the gate under the current settings, and returns the channel for the final decision.
func (a *AdaptiveAdmitter) offer(item Item) (call.ID, <-chan admit.Decision) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()

	a.lastID++
	id := call.ID(strconv.FormatUint(a.lastID, 36))
	decided := make(chan admit.Decision, 1)
	a.waiters[id] = decided
	a.gate.SetSettings(gateSettings(item.Policy))
	a.updateBounds(now, item.Policy)
	a.deliver(a.gate.Offer(now, admit.Item{
		Op:       id,
		Rank:     item.Envelope.Rank,
		Kind:     item.Policy.Kind,
		Caller:   item.Envelope.Caller,
		Deadline: item.Deadline,
		Stream:   item.Policy.Stream,
		Bytes:    a.responseSizes.bufferBytes(item),
	}))

	return id, decided
}

// updateBounds applies limit bounds that have changed in the settings. The caller must hold a.mu.
func (a *AdaptiveAdmitter) updateBounds(now time.Time, policy tree.Policy) {
	bounds := limitBounds(policy, a.options.Slots)
	if bounds == a.bounds {
		return
	}
	a.bounds = bounds
	if change, changed := a.limiter.SetBounds(bounds); changed {
		a.applyLimit(now, change)
	}
}

// waitForDecision waits for the final decision on a call. Meanwhile it checks the queue for calls that have waited too long.
func (a *AdaptiveAdmitter) waitForDecision(ctx context.Context, id call.ID, decided <-chan admit.Decision) admit.Decision {
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

// tick refuses calls that have waited too long, at most once per tickInterval for all waiting goroutines together.
func (a *AdaptiveAdmitter) tick(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.lastTick) < tickInterval {
		return
	}
	a.lastTick = now
	a.deliver(a.gate.Tick(now))
}

// abandon removes a call whose context has ended from the queue, unless it has been decided in the meantime.
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

// deliver sends final decisions to the waiting goroutines. The caller must hold a.mu.
func (a *AdaptiveAdmitter) deliver(decisions []admit.Decision) {
	for _, decision := range decisions {
		if decision.Verdict == admit.Wait {
			continue
		}
		if decided, waiting := a.waiters[decision.Op]; waiting {
			delete(a.waiters, decision.Op)
			decided <- decision
		}
	}
}

// release frees the slot of a call, and updates the limit, the kind threshold and the response size from how the call ended.
func (a *AdaptiveAdmitter) release(id call.ID, item Item, inflight int, completion Completion) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()

	if completion.DownstreamThreshold > 0 {
		a.kindThresholds.ObserveRefusal(now, item.Policy.Kind, item.Envelope.Rank, completion.DownstreamThreshold)
	} else if limitResult(completion) == limit.ResultOK {
		a.kindThresholds.ObserveSuccess(now, item.Policy.Kind, item.Envelope.Rank)
	}
	if completion.Load >= 0 {
		a.limiter.ReportLoad(now, completion.Load)
	}
	if !item.Policy.Stream {
		a.responseSizes.observe(item.Policy.Kind, completion.Bytes)
		sample := limit.Sample{Kind: item.Policy.Kind, Latency: completion.Latency, Inflight: inflight, Result: limitResult(completion)}
		if change, changed := a.limiter.Observe(now, sample); changed {
			a.applyLimit(now, change)
		}
	}
	a.deliver(a.gate.Release(now, id, gateResult(completion)))
}

// applyLimit passes a changed limit to the gate and logs the decision. The caller must hold a.mu.
func (a *AdaptiveAdmitter) applyLimit(now time.Time, change limit.Change) {
	a.deliver(a.gate.SetLimit(now, change.Limit))
	if a.options.Tracer == nil {
		return
	}
	a.options.Tracer.Record(trace.Decision{
		Time:    now,
		Step:    trace.StepLimit,
		Service: a.options.Service,
		Reason:  change.Reason,
		Detail:  strconv.Itoa(change.Before) + " to " + strconv.Itoa(change.Limit) + ", slowness " + strconv.FormatFloat(change.Slowness, 'f', 2, 64),
		Elapsed: change.Latency,
	})
}

func limitResult(completion Completion) limit.Result {
	switch {
	case completion.Shed:
		return limit.ResultShed
	case completion.DeadlineExceeded:
		return limit.ResultDeadlineExceeded
	case completion.Failed || completion.Status >= statusServerError:
		return limit.ResultError
	}

	return limit.ResultOK
}

func gateResult(completion Completion) admit.Result {
	switch limitResult(completion) {
	case limit.ResultOK:
		return admit.ResultOK
	case limit.ResultDeadlineExceeded:
		return admit.ResultDeadlineExceeded
	case limit.ResultShed, limit.ResultError:
	}

	return admit.ResultOther
}

func decisionDetail(d admit.Decision) string {
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

// limitBounds returns the bounds of the limit: the maximum is the smaller of the setting and the slots, where zero means unset.
func limitBounds(policy tree.Policy, slots int) limit.Bounds {
	bounds := limit.Bounds{Min: policy.LimitMin, Max: slots}
	if policy.LimitMax > 0 && (slots <= 0 || policy.LimitMax < slots) {
		bounds.Max = policy.LimitMax
	}

	return bounds
}
