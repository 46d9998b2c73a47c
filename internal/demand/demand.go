package demand

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/fanout"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/pace"
	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

// Name is the name of the kernel service.
const Name = "demand"

const (
	// observeInterval is the interval at which the load of the local backend server is sampled.
	observeInterval = 50 * time.Millisecond
	// windowLength is the length of the windows in which calls are counted to estimate calls per execution.
	windowLength = 250 * time.Millisecond
	// maxOtherLevels is the number of most loaded services that a report includes beside those that the route needs.
	maxOtherLevels = 2
	// exploreInterval is the shortest time after the last update of a route's needs at which a request of the route may be admitted
	// despite overload. Wrong needs that refuse all requests of a route would otherwise never be corrected, because no responses would
	// come. In the whole fleet such requests of one route are exploreApart apart, so that they don't take what is left of a service.
	exploreInterval = 2 * time.Second
	exploreApart    = 100 * time.Millisecond
	// failureWindow is how long a failed call by the backend server may explain an error response of the backend server.
	failureWindow = time.Second
)

// Loader measures the load of the local backend server.
type Loader interface {
	// Load returns the number of running and waiting calls per slot.
	Load() float64
}

// Members lists the nodes of the fleet.
type Members interface {
	All() []member.Entry
}

// Demand is the kernel service that estimates call trees and admits requests. It is safe for concurrent use.
type Demand struct {
	service string
	loader  Loader
	members Members
	cancel  context.CancelFunc
	stopped chan struct{}

	mu        sync.Mutex
	estimator *fanout.Estimator
	trees     *fanout.CallTrees
	levels    *shed.LevelTable
	// integralLevels holds the integral parts of the levels that the nodes of a service reported.
	integralLevels *shed.LevelTable
	finished       *shed.Finished
	// controller controls the admission level of the local backend server.
	controller *shed.Controller
	// callers holds for each route that runs here the services that its requests come from.
	callers map[string]*fanout.Callers
	// origins holds for each route that is requested here the origin of its requests, as reported by the executing nodes.
	origins map[string]fanout.Origin
	// services holds the service of each route that the local backend server calls.
	services map[string]string
	// failedAt is when a call by the local backend server last failed.
	failedAt time.Time
	// maxCalls holds for each service the most calls to it that any known call tree makes.
	maxCalls map[string]float64
	// needsUpdatedAt holds for each route when its needs were last updated or a request was last admitted to explore them.
	needsUpdatedAt map[string]time.Time
	startedAt      time.Time
}

// New returns the kernel service for a node whose local backend server belongs to the given service.
func New(service string) *Demand {
	return &Demand{
		service:        service,
		stopped:        make(chan struct{}),
		estimator:      fanout.NewEstimator(),
		trees:          fanout.NewCallTrees(),
		levels:         shed.NewLevelTable(),
		integralLevels: shed.NewLevelTable(),
		finished:       shed.NewFinished(),
		controller:     shed.NewController(time.Now()),
		callers:        map[string]*fanout.Callers{},
		origins:        map[string]fanout.Origin{},
		services:       map[string]string{},
		needsUpdatedAt: map[string]time.Time{},
		startedAt:      time.Now(),
	}
}

// String returns the name of the service.
func (d *Demand) String() string {
	return Name
}

// Start starts sampling the load of the local backend server.
func (d *Demand) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if d.loader, err = kernel.Find[Loader](k, "guard"); err != nil {
		return nil, err
	}
	if d.members, err = kernel.Find[Members](k, "gossip"); err != nil {
		return nil, err
	}
	ctx, d.cancel = context.WithCancel(ctx)
	done := make(chan error, 1)
	go d.run(ctx, done)

	return done, nil
}

// Stop stops the sampling.
func (d *Demand) Stop(context.Context) error {
	d.cancel()
	<-d.stopped

	return nil
}

func (d *Demand) run(ctx context.Context, done chan<- error) {
	defer close(d.stopped)
	observe, window := time.NewTicker(observeInterval), time.NewTicker(windowLength)
	defer observe.Stop()
	defer window.Stop()
	for {
		select {
		case <-ctx.Done():
			done <- nil

			return
		case now := <-observe.C:
			d.observe(now, d.loader.Load())
		case <-window.C:
			d.closeWindow()
		}
	}
}

func (d *Demand) observe(now time.Time, load float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.controller.Observe(now, load)
}

func (d *Demand) closeWindow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.estimator.CloseWindow()
	d.maxCalls = d.trees.MaxCalls()
}

// CountExecution counts a call that runs on the local backend server and returns the origin of the requests on its route. It
// takes the number of services in the fleet.
func (d *Demand) CountExecution(hop wire.Hop, services int) fanout.Origin {
	key := hop.Key()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.estimator.CountExecution(key)
	callers := d.callers[key]
	if callers == nil {
		callers = fanout.NewCallers()
		d.callers[key] = callers
	}
	callers.Count(hop.Caller)
	if hop.LevelEstimate >= 0 {
		d.controller.AverageWith(time.Now(), hop.LevelEstimate)
	}

	return callers.Origin(services)
}

// CountEnd counts the end of a call on the local backend server, and whether that responded with a failure.
func (d *Demand) CountEnd(hop wire.Hop, failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.estimator.CountEnd(hop.Key(), failed)
}

// CountRequest counts a request that enters at this node and returns the origin of the requests on its route. It counts as a call
// by the local backend server if that origin is OriginServers.
func (d *Demand) CountRequest(route, service string) fanout.Origin {
	key := wire.RouteKey(route, service)
	d.mu.Lock()
	defer d.mu.Unlock()
	origin := d.origins[key]
	if origin == fanout.OriginServers {
		d.estimator.CountCall(key)
		d.services[key] = service
	}

	return origin
}

// HandleReport updates origins, levels and needs from the report in a response.
func (d *Demand) HandleReport(now time.Time, hop wire.Hop, report wire.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := hop.Key()
	if report.Origin != fanout.OriginUnknown {
		d.origins[key] = report.Origin
	}
	for _, level := range report.Levels {
		d.levels.Observe(now, level.Service, level.Value)
	}
	if report.Slots > 0 {
		d.integralLevels.Observe(now, hop.Service, report.IntegralLevel)
	}
	if report.NeedsKnown {
		d.trees.Set(key, report.Needs)
		d.needsUpdatedAt[key] = now
	}
}

// ObserveFailure records that a call by the local backend server failed.
func (d *Demand) ObserveFailure(now time.Time, route, service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failedAt = now
	d.estimator.CountFailure(wire.RouteKey(route, service))
}

// FailedRecently reports whether a call by the local backend server failed recently enough to explain an error response of its
// own.
func (d *Demand) FailedRecently(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return now.Sub(d.failedAt) < failureWindow
}

// Decide admits a request if the services that its call tree needs have spare capacity. Without known needs, it counts every
// service as needed. From time to time it admits a request of a route that would be refused, to update the needs of the route.
func (d *Demand) Decide(now time.Time, route, service string, request shed.Request) shed.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := wire.RouteKey(route, service)
	known := d.trees.Has(key)
	if known {
		for needed, calls := range d.callsPerService(route, service) {
			request.Needs = append(request.Needs, shed.Need{Service: needed, Weight: calls / max(calls, d.maxCalls[needed])})
		}
	} else {
		request.Needs = append(request.Needs, shed.Need{Service: service, Weight: 1})
		for _, needed := range d.levels.Services() {
			request.Needs = append(request.Needs, shed.Need{Service: needed, Weight: 1})
		}
	}

	decision := d.levels.Decide(now, request)
	decision.Unknown = !known
	if !decision.Admitted && d.startExploring(now, key) {
		decision.Admitted, decision.Explores = true, true
	}

	return decision
}

// startExploring reports whether a refused request is admitted to update the needs of its route; the caller holds the lock.
func (d *Demand) startExploring(now time.Time, key string) bool {
	updatedAt, found := d.needsUpdatedAt[key]
	if !found {
		updatedAt = d.startedAt
	}
	if now.Sub(updatedAt) < pace.Interval(exploreInterval, d.nodes(), exploreApart) {
		return false
	}
	d.needsUpdatedAt[key] = now

	return true
}

// nodes returns the number of nodes in the fleet, zero before the start.
func (d *Demand) nodes() int {
	if d.members == nil {
		return 0
	}

	return len(d.members.All())
}

// callsPerService returns the calls that one request on the route causes to each service, itself included; the caller holds the
// lock.
func (d *Demand) callsPerService(route, service string) map[string]float64 {
	calls := map[string]float64{service: 1}
	for _, need := range d.trees.Needs(wire.RouteKey(route, service)) {
		calls[need.Service] += need.Calls
	}

	return calls
}

// EstimatedLevel returns the estimated admission level of a service, negative if there is none. The level is the share of the
// demand that the service can take, from 0 to 1.
func (d *Demand) EstimatedLevel(now time.Time, service string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if level, found := d.integralLevels.Lookup(now, service); found {
		return level.Value * d.finished.Share(now, service)
	}

	return -1
}

// ObserveCall counts a call to a service, and whether it ended before its deadline.
func (d *Demand) ObserveCall(now time.Time, service string, finished bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finished.Observe(now, service, finished)
}

// CallsPerAttempt returns the calls that one attempt on the route causes to each service.
func (d *Demand) CallsPerAttempt(route, service string) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.callsPerService(route, service)
}

// CompleteReport adds the needs of the route and the admission levels to a report of this node.
func (d *Demand) CompleteReport(now time.Time, route string, report wire.Report) wire.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	report.NeedsKnown = d.estimator.Ready(route)
	var callees []fanout.Callee
	for calledRoute, calls := range d.estimator.Callees(route) {
		callees = append(callees, fanout.Callee{Route: calledRoute, Service: d.services[calledRoute], Calls: calls})
		report.NeedsKnown = report.NeedsKnown && d.trees.Has(calledRoute)
	}
	report.Needs = d.trees.Sum(callees)
	report.IntegralLevel = d.controller.Integral()
	report.Levels = d.reportedLevels(now, report.Needs)

	return report
}

// reportedLevels returns the levels of the local service, of the needed services and of the most loaded ones; the caller holds
// the lock.
func (d *Demand) reportedLevels(now time.Time, needs []fanout.Need) []shed.Level {
	levels := []shed.Level{{Service: d.service, Value: d.controller.Level()}}
	included := func(service string) bool {
		return slices.ContainsFunc(levels, func(level shed.Level) bool { return level.Service == service })
	}
	for _, need := range needs {
		if level, found := d.levels.Lookup(now, need.Service); found && !included(need.Service) {
			levels = append(levels, level)
		}
	}
	for _, level := range d.levels.MostLoaded(now, maxOtherLevels) {
		if !included(level.Service) {
			levels = append(levels, level)
		}
	}

	return levels
}
