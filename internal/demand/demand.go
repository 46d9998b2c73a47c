package demand

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/fanout"
	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

// Name is the name of the service.
const Name = "demand"

const (
	// observeInterval is the time between two looks at the own backend server's load.
	observeInterval = 50 * time.Millisecond
	// learnInterval is the length of the windows in which calls are related to executions.
	learnInterval = 250 * time.Millisecond
	// pressedMost is the number of services without room that a report names beside those that a route needs.
	pressedMost = 2
	// exploreInterval is how long a route may be refused by what was told of its call trees before. A belief that refuses all of a
	// route's requests would bring no answers that could correct it.
	exploreInterval = 2 * time.Second
	// faultMemory is how long a failed call of the backend server may explain a failed answer of its own.
	faultMemory = time.Second
)

// Loader tells how full the own backend server is.
type Loader interface {
	// Load returns the calls that run or wait per slot.
	Load() float64
}

// Demand is the kernel service.
type Demand struct {
	service string
	loader  Loader
	cancel  context.CancelFunc
	ended   chan struct{}

	mu       sync.Mutex
	learner  *fanout.Estimator
	trees    *fanout.CallTrees
	board    *shed.LevelTable
	beliefs  *shed.LevelTable
	own      *shed.Controller
	callers  map[string]*fanout.Callers
	origins  map[string]fanout.Origin
	callees  map[string]string
	failedAt time.Time
	// heaviest holds the most calls to each service that a known call tree makes.
	heaviest map[string]float64
	// told holds for each route when its call trees were last told of or asked for.
	told  map[string]time.Time
	began time.Time
}

// New returns the service for a node beside a backend server of the service.
func New(service string) *Demand {
	return &Demand{
		service: service,
		ended:   make(chan struct{}),
		learner: fanout.NewEstimator(),
		trees:   fanout.NewCallTrees(),
		board:   shed.NewLevelTable(),
		beliefs: shed.NewLevelTable(),
		own:     shed.NewController(time.Now()),
		callers: map[string]*fanout.Callers{},
		origins: map[string]fanout.Origin{},
		callees: map[string]string{},
		told:    map[string]time.Time{},
		began:   time.Now(),
	}
}

// String returns the name of the service.
func (d *Demand) String() string {
	return Name
}

// Start begins to follow the load of the own backend server.
func (d *Demand) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if d.loader, err = kernel.Find[Loader](k, "guard"); err != nil {
		return nil, err
	}
	ctx, d.cancel = context.WithCancel(ctx)
	done := make(chan error, 1)
	go d.run(ctx, done)

	return done, nil
}

// Stop ends the following.
func (d *Demand) Stop(context.Context) error {
	d.cancel()
	<-d.ended

	return nil
}

func (d *Demand) run(ctx context.Context, done chan<- error) {
	defer close(d.ended)
	observe, learn := time.NewTicker(observeInterval), time.NewTicker(learnInterval)
	defer observe.Stop()
	defer learn.Stop()
	for {
		select {
		case <-ctx.Done():
			done <- nil

			return
		case now := <-observe.C:
			d.observe(now, d.loader.Load())
		case <-learn.C:
			d.closeWindow()
		}
	}
}

func (d *Demand) observe(now time.Time, load float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own.Observe(now, load)
}

func (d *Demand) closeWindow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learner.CloseWindow()
	d.heaviest = d.trees.MaxCalls()
}

// CountExecution counts a call that runs on the own backend server and returns where the calls on its route come from.
func (d *Demand) CountExecution(hop wire.Hop, services int) fanout.Origin {
	key := hop.Key()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.learner.CountExecution(key)
	callers := d.callers[key]
	if callers == nil {
		callers = fanout.NewCallers()
		d.callers[key] = callers
	}
	callers.Count(hop.Caller)
	if hop.LevelEstimate >= 0 {
		d.own.AverageWith(time.Now(), hop.LevelEstimate)
	}

	return callers.Origin(services)
}

// CountRequest counts a request that began on this VM and returns where requests on its route come from.
func (d *Demand) CountRequest(route, service string) fanout.Origin {
	key := wire.RouteKey(route, service)
	d.mu.Lock()
	defer d.mu.Unlock()
	origin := d.origins[key]
	if origin == fanout.OriginServers {
		d.learner.CountCall(key)
		d.callees[key] = service
	}

	return origin
}

// HandleReport takes the report on an answer.
func (d *Demand) HandleReport(now time.Time, hop wire.Hop, report wire.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := hop.Key()
	if report.Origin != fanout.OriginUnknown {
		d.origins[key] = report.Origin
	}
	for _, level := range report.Levels {
		d.board.Observe(now, level.Service, level.Value)
	}
	if report.Slots > 0 {
		d.beliefs.Observe(now, hop.Service, report.IntegralLevel)
	}
	if report.NeedsKnown {
		d.trees.Set(key, report.Needs)
		d.told[key] = now
	}
}

// ObserveFailure notes that a call of the own backend server had no good answer.
func (d *Demand) ObserveFailure(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failedAt = now
}

// FailedRecently reports whether a failed answer may be due to the calls that the backend server made.
func (d *Demand) FailedRecently(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return now.Sub(d.failedAt) < faultMemory
}

// Decide says whether the call tree of a request has room; one of which nothing is known counts as needing every service. Of a route
// that is refused for long, a request is admitted now and then to learn its call trees anew.
func (d *Demand) Decide(now time.Time, route, service string, demand shed.Request) shed.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := wire.RouteKey(route, service)
	if d.trees.Has(key) {
		for needed, calls := range d.calls(route, service) {
			demand.Needs = append(demand.Needs, shed.Need{Service: needed, Weight: calls / max(calls, d.heaviest[needed])})
		}
	} else {
		demand.Needs = append(demand.Needs, shed.Need{Service: service, Weight: 1})
		for _, needed := range d.board.Services() {
			demand.Needs = append(demand.Needs, shed.Need{Service: needed, Weight: 1})
		}
	}

	decision := d.board.Decide(now, demand)
	if !decision.Admitted && d.explores(now, key) {
		decision.Admitted, decision.Explores = true, true
	}

	return decision
}

// explores reports whether a refused request is admitted to learn its route's call trees anew; the caller holds the lock.
func (d *Demand) explores(now time.Time, key string) bool {
	told, known := d.told[key]
	if !known {
		told = d.began
	}
	if now.Sub(told) < exploreInterval {
		return false
	}
	d.told[key] = now

	return true
}

// calls returns the calls to each service that an execution on the route makes, its own included; the caller holds the lock.
func (d *Demand) calls(route, service string) map[string]float64 {
	calls := map[string]float64{service: 1}
	for _, need := range d.trees.Needs(wire.RouteKey(route, service)) {
		calls[need.Service] += need.Calls
	}

	return calls
}

// EstimatedLevel returns the admission level of a service as this node believes it, negative if it knows none.
func (d *Demand) EstimatedLevel(now time.Time, service string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if belief, known := d.beliefs.Lookup(now, service); known {
		return belief.Value
	}

	return -1
}

// CallsPerAttempt returns the calls to each service that one more attempt on the route causes.
func (d *Demand) CallsPerAttempt(route, service string) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.calls(route, service)
}

// CompleteReport completes the report of the own node for a route.
func (d *Demand) CompleteReport(now time.Time, route string, report wire.Report) wire.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	report.NeedsKnown = d.learner.Ready(route)
	var callees []fanout.Callee
	for called, calls := range d.learner.Callees(route) {
		callees = append(callees, fanout.Callee{Route: called, Service: d.callees[called], Calls: calls})
		report.NeedsKnown = report.NeedsKnown && d.trees.Has(called)
	}
	report.Needs = d.trees.Sum(callees)
	report.IntegralLevel = d.own.Integral()
	report.Levels = d.levels(now, report.Needs)

	return report
}

// levels returns those of the own service, of the services needed, and of those that have least room; the caller holds the lock.
func (d *Demand) levels(now time.Time, needs []fanout.Need) []shed.Level {
	found := []shed.Level{{Service: d.service, Value: d.own.Level()}}
	named := func(service string) bool {
		return slices.ContainsFunc(found, func(level shed.Level) bool { return level.Service == service })
	}
	for _, need := range needs {
		if level, known := d.board.Lookup(now, need.Service); known && !named(need.Service) {
			found = append(found, level)
		}
	}
	for _, level := range d.board.MostLoaded(now, pressedMost) {
		if !named(level.Service) {
			found = append(found, level)
		}
	}

	return found
}
