package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/fake"
)

// Plan describes one run.
type Plan struct {
	Name    string
	Variant string
	Seed    uint64
	Example Example
	// Phases are before, during and after the trigger.
	Phases []Phase
	// Manners has one manner of the callers for each phase.
	Manners []Manner
	Picker  Picker
	// Ledger is what the backend servers count in, nil if it cannot be seen.
	Ledger *fake.Ledger
	// Begin is called at the start of each phase, to switch faults.
	Begin func(phase int)
	// Progress is called once a second with what was seen so far.
	Progress func(Point)
	// Prefix keeps the requests of runs that share a ledger apart.
	Prefix string
}

// maxOpen bounds the requests that the bench holds open at once.
const maxOpen = 20_000

// settle is how long executions may go on after the last answer.
const settle = 500 * time.Millisecond

// ErrPlan is returned for a plan that cannot be run.
var ErrPlan = errors.New("a plan needs phases, as many manners, kinds and a picker")

// Run drives the traffic of the plan and returns the report, partial if the context ends.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	if len(plan.Phases) == 0 || len(plan.Manners) != len(plan.Phases) || len(plan.Example.Kinds) == 0 || plan.Picker == nil {
		return nil, ErrPlan
	}
	r := &runner{plan: plan, client: fake.NewClient(), tally: newTally(plan), open: make(chan struct{}, maxOpen)}
	defer r.client.CloseIdleConnections()
	before := r.totals()
	ended := r.watch(ctx)
	r.drive(ctx)
	r.calls.Wait()
	close(r.stopped)
	<-ended
	wait(ctx, settle)

	return r.tally.report(before, r.totals()), ctx.Err()
}

// runner is one run while it goes on.
type runner struct {
	plan    Plan
	client  *http.Client
	tally   *tally
	open    chan struct{}
	calls   sync.WaitGroup
	stopped chan struct{}
}

// drive starts each request at its time, whatever became of those before.
func (r *runner) drive(ctx context.Context) {
	source := newArrivals(r.plan.Seed, r.plan.Example.Kinds, r.plan.Phases)
	phase := -1
	for next, more := source.next(); more; next, more = source.next() {
		if !wait(ctx, time.Until(r.tally.began.Add(next.at))) {
			return
		}
		for ; phase < next.phase; phase++ {
			if r.plan.Begin != nil {
				r.plan.Begin(phase + 1)
			}
		}
		r.start(ctx, next)
	}
}

func (r *runner) start(ctx context.Context, from arrival) {
	kind := r.plan.Example.Kinds[from.kind]
	r.tally.offer(from)
	select {
	case r.open <- struct{}{}:
	default:
		r.tally.finish(from, []try{{verdict: verdictDropped}}, 0)

		return
	}
	c := caller{
		client: r.client, picker: r.plan.Picker, manner: r.plan.Manners[from.phase],
		prefix: r.plan.Prefix, kind: kind, from: from,
	}
	r.calls.Add(1)
	go r.call(ctx, c)
}

// call reports its end to the wait group, and gives its room back.
func (r *runner) call(ctx context.Context, c caller) {
	defer r.calls.Done()
	defer func() { <-r.open }()
	began := time.Now()
	tries := c.run(ctx)
	r.tally.finish(c.from, tries, time.Since(began))
}

func (r *runner) totals() fake.Totals {
	if r.plan.Ledger == nil {
		return fake.Totals{}
	}

	return r.plan.Ledger.Totals()
}

// watch calls Progress once a second until the run stops.
func (r *runner) watch(ctx context.Context) <-chan struct{} {
	r.stopped = make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if r.plan.Progress != nil {
					r.plan.Progress(r.tally.latest(time.Second))
				}
			case <-r.stopped:
				return
			case <-ctx.Done():
				return
			}
		}
	}()

	return ended
}

// wait returns false when the context ends first.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
