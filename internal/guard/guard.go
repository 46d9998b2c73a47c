package guard

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pistachiotack/pistachiotack/internal/budget"
	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/listen"
	"github.com/pistachiotack/pistachiotack/internal/meter"
	"github.com/pistachiotack/pistachiotack/internal/panics"
	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/beat"
	"github.com/pistachiotack/pistachiotack/pkg/fanout"
	"github.com/pistachiotack/pistachiotack/pkg/fatal"
	"github.com/pistachiotack/pistachiotack/pkg/leave"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/queue"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
)

// Name is the name of the kernel service.
const Name = "guard"

const (
	// maxBody is the largest request body in bytes that a peer may send.
	maxBody = 128 << 20
	// backendIdleTimeout is the time after which an idle connection to the backend server is not reused.
	backendIdleTimeout = 3 * time.Second
	// tickInterval is the time between checks for missing heartbeats and expired queue entries.
	tickInterval = 250 * time.Millisecond
)

// Announcer publishes the node's address and state to the fleet, and lists the members of the fleet.
type Announcer interface {
	SetPeers(address string)
	SetState(state member.State) error
	// SetDeparted announces that the backend server has left, and Departures receives what other nodes know of one that left before the start
	// of the node.
	SetDeparted(departure member.Departure)
	Departures() <-chan member.Departure
	// Join makes the node known to the fleet at once, whatever its state.
	Join()
	All() []member.Entry
}

// Demand estimates the load that call trees put on services; a call tree is a request with all calls that are made for it.
type Demand interface {
	// CountExecution counts a call that runs on the local backend server, and returns the origin of the requests on its route.
	CountExecution(hop wire.Hop, services int) fanout.Origin
	// CountEnd counts the end of such a call, and whether the backend server responded with a failure.
	CountEnd(hop wire.Hop, failed bool)
	// FailedRecently reports whether a call made by the backend server failed so recently that it may have caused a failed response.
	FailedRecently(now time.Time) bool
	// CompleteReport adds the estimates for the route to a report.
	CompleteReport(now time.Time, route string, report wire.Report) wire.Report
}

// Holder holds the routes in force.
type Holder interface {
	// Table returns nil until the routes have been loaded.
	Table() *routes.Table
	Revision() uint64
}

// Crashes remembers which requests were running when backend servers of the service crashed.
type Crashes interface {
	// Active reports whether any request is a suspect or known.
	Active() bool
	Verdict(now time.Time, id fatal.ID) fatal.Verdict
	// RecordCrash records that a process ended while it ran the requests, and shares it with other nodes for a bounded time.
	RecordCrash(ctx context.Context, process string, requests []fatal.ID)
	// RecordResponse clears a request that a backend server has answered.
	RecordResponse(id fatal.ID)
}

// Tracer writes decisions to the decision log.
type Tracer interface {
	Record(decision trace.Decision)
}

// Options configure the service.
type Options struct {
	// Listen is the listen address for other nodes.
	Listen  string
	Service string
	// Backend is the address of the backend server.
	Backend string
	// Interval is the time between two heartbeats of the backend server.
	Interval time.Duration
	Dialect  Dialect
	Log      *slog.Logger
}

// Guard is the kernel service; it is safe for concurrent use.
type Guard struct {
	options   Options
	announcer Announcer
	demand    Demand
	holder    Holder
	tracer    Tracer
	crashes   Crashes
	refused   *meter.Vec[tally.Counter]
	client    *relay.Client
	buffers   *budget.Budget
	close     func()
	server    *listen.Server
	active    atomic.Int64
	draining  atomic.Bool
	end       atomic.Pointer[leave.End]
	// callContext is the context of calls that their callers cannot cancel; cancelCalls ends it.
	callContext context.Context
	cancelCalls context.CancelFunc
	// suspectTurn holds a value while a request runs that was running when a backend server crashed.
	suspectTurn chan struct{}
	// services is the number of services in the fleet.
	services atomic.Int64
	cancel   context.CancelFunc
	stopped  chan struct{}
	// unconfirmed receives a value when the backend server has a candidate, and confirmEnded is closed when none is confirmed any more.
	unconfirmed  chan struct{}
	confirmEnded chan struct{}

	mu          sync.Mutex
	backend     *beat.Server
	queue       *queue.Queue
	announced   member.State
	failedDials int
	// crash is the possible end of the backend server that is being investigated, nil for none.
	crash *crash
	// limitUnreadable is set while the rate limit in the backend server's responses cannot be read.
	limitUnreadable bool
	// limitUnknownUntil is set from the first heartbeat after a start of the node to the server's first response, for at most
	// limitUnknownTime: the server may have stated a limit before.
	limitUnknownUntil time.Time
	// nextStart fires when the rate limit allows a waiting call to start.
	nextStart *time.Timer
	// changed receives a value when the snapshot has changed without a heartbeat.
	changed chan struct{}
}

// New returns a service without a backend server; the first heartbeat registers one.
func New(options Options) *Guard {
	client, closeClient := relay.NewClient(backendIdleTimeout)
	nextStart := time.NewTimer(tickInterval)
	nextStart.Stop()

	g := &Guard{
		options:     options,
		client:      client,
		buffers:     budget.New(maxBuffered),
		close:       closeClient,
		stopped:     make(chan struct{}),
		suspectTurn: make(chan struct{}, 1),
		backend: beat.NewServer(beat.Options{
			Service: options.Service, Address: options.Backend, Interval: options.Interval, ConfirmFirst: true,
		}),
		unconfirmed:  make(chan struct{}, 1),
		confirmEnded: make(chan struct{}),
		queue:        queue.New(queueLimits(0, false)),
		announced:    member.StateStarting,
		nextStart:    nextStart,
		changed:      make(chan struct{}, 1),
	}
	g.RefuseLate(leave.End{})

	return g
}

// String returns the name of the service.
func (*Guard) String() string {
	return Name
}

// Start opens the listener for other nodes and begins to check for missing heartbeats.
func (g *Guard) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	if err := g.find(k); err != nil {
		return nil, err
	}
	var err error
	if g.server, err = listen.New(g.options.Listen, g.handle, listen.Options{MaxBody: maxBody}); err != nil {
		return nil, err
	}
	g.announcer.SetPeers(g.server.Address())
	g.callContext, g.cancelCalls = context.WithCancel(context.WithoutCancel(ctx))
	ctx, g.cancel = context.WithCancel(ctx)
	go g.run(ctx)
	go g.confirmCandidates(ctx)

	return g.server.Done(), nil
}

func (g *Guard) find(k *kernel.Kernel) error {
	var metrics *meter.Meter
	err := kernel.FindAll(k,
		kernel.Into("gossip", &g.announcer),
		kernel.Into("demand", &g.demand),
		kernel.Into("holder", &g.holder),
		kernel.Into("crash", &g.crashes),
		kernel.Into(trace.Name, &g.tracer),
		kernel.Into(meter.Name, &metrics),
	)
	if err == nil {
		g.refused = meter.NewCounters(metrics.Scope().SubScope(Name), "refused", "reason")
		metrics.RegisterGauge("guard_backend_rate_limit", g.rateLimit)
	}

	return err
}

// Stop closes the listener and the connections to the backend server.
func (g *Guard) Stop(ctx context.Context) error {
	defer g.close()
	defer g.cancelCalls()
	g.cancel()
	<-g.stopped
	<-g.confirmEnded

	return g.server.Close(ctx)
}

// Address returns the address for other nodes.
func (g *Guard) Address() string {
	return g.server.Address()
}

// Load returns the load of the backend server relative to its slots or its rate limit, whichever binds, 0 without a backend server.
func (g *Guard) Load() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.queue.BindingLoad(time.Now()).Utilisation()
}

// HandleHeartbeat processes a heartbeat of a backend server. It drops the connections to the previous process if another one has
// started.
func (g *Guard) HandleHeartbeat(now time.Time, heartbeat beat.Heartbeat) beat.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.backend.LastHeartbeat()
	verdict := g.backend.HandleHeartbeat(now, heartbeat)
	switch verdict {
	case beat.VerdictAccepted:
		g.handleNewProcess(now, before)
	case beat.VerdictUnconfirmed:
		g.announcer.Join()
		g.requestConfirmation()
	}
	g.applyState(now)

	return verdict
}

// handleNewProcess drops the connections to the previous process if another one than that of the heartbeat has become the current one. The
// caller holds the lock.
func (g *Guard) handleNewProcess(now time.Time, before beat.Heartbeat) {
	heartbeat := g.backend.LastHeartbeat()
	if before.ID == heartbeat.ID && before.StartedAt.Equal(heartbeat.StartedAt) {
		return
	}
	g.options.Log.Info("backend server found", slog.String("process", heartbeat.String()), slog.Int("slots", heartbeat.Slots))
	g.client.CloseConnections(g.options.Backend)
	g.failedDials = 0
	if before.ID == "" {
		g.limitUnknownUntil = now.Add(limitUnknownTime)
	}
}

// Deregister processes the deregistration of a backend server, and reports whether it was the current one.
func (g *Guard) Deregister(now time.Time, id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.backend.Deregister(now, id)
	if g.backend.State() == beat.StateAbsent {
		g.announceDeparture(now, beat.Heartbeat{ID: id})
	}
	g.applyState(now)

	return known
}

// Snapshot returns the state of the backend server to be restored after a restart of the node, false if there is none.
func (g *Guard) Snapshot(now time.Time) (beat.Snapshot, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.backend.Snapshot(now)
}

// Restore applies a snapshot from before a restart of the node, and reports whether the backend server is ready as a result.
// The parameter alive states that the process in the snapshot has just passed a status check.
func (g *Guard) Restore(now time.Time, snapshot beat.Snapshot, alive bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	ready := g.backend.Restore(now, snapshot, alive)
	g.applyState(now)

	return ready
}

// run checks periodically for missing heartbeats until the context ends.
func (g *Guard) run(ctx context.Context) {
	defer close(g.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer g.nextStart.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			// the error has been logged, and the next tick is due soon
			_ = panics.Do(ctx, g.options.Log, "tick of the guard", func(context.Context) error {
				g.tick(now)

				return nil
			})
		case departure := <-g.announcer.Departures():
			// the error has been logged, and the departure is known to the row and to other nodes
			_ = panics.Do(ctx, g.options.Log, "departure of the backend server", func(context.Context) error {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.handleDeparture(time.Now(), departure)

				return nil
			})
		case now := <-g.nextStart.C:
			// the error has been logged, and the next tick is due soon
			_ = panics.Do(ctx, g.options.Log, "start of calls under the rate limit", func(context.Context) error {
				g.startWaiting(now)

				return nil
			})
		}
	}
}

func (g *Guard) tick(now time.Time) {
	g.countServices()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.backend.Tick(now) {
		g.options.Log.Warn("backend server lost", slog.String("process", g.backend.LastHeartbeat().String()), slog.String("reason", "silent"))
		g.applyState(now)
	}
	if !g.limitUnknownUntil.IsZero() && now.After(g.limitUnknownUntil) {
		g.setLimitKnown(now)
	}
	g.queue.Expire(now)
	g.planNextStart(now)
}

func (g *Guard) countServices() {
	seen := map[string]bool{}
	for _, entry := range g.announcer.All() {
		seen[entry.Service] = true
	}
	g.services.Store(int64(len(seen)))
}

// applyState updates the queue and the announced node state to the state of the backend server; the caller holds the lock.
func (g *Guard) applyState(now time.Time) {
	switch g.backend.State() {
	case beat.StateReady:
		g.queue.SetRateLimit(now, g.backend.RateLimit())
		g.queue.SetLimits(now, queueLimits(g.backend.LastHeartbeat().Slots, !g.limitUnknownUntil.IsZero()))
		g.planNextStart(now)
		g.announce(member.StateServing)
	case beat.StateDraining:
		g.queue.RefuseAll(reasonDraining)
		g.announceDeparture(now, g.backend.LastHeartbeat())
		g.announce(member.StateDraining)
	case beat.StateLost:
		g.queue.RefuseAll(reasonLost)
		g.announce(member.StateDraining)
	case beat.StateAbsent:
	}
}

// announce publishes the node state to the fleet if it has changed; the caller holds the lock.
func (g *Guard) announce(state member.State) {
	if g.announced == state || (g.draining.Load() && state != member.StateDraining) {
		return
	}
	if err := g.announcer.SetState(state); err != nil {
		g.options.Log.Warn("state not announced", slog.String("state", string(state)), slog.String("error", err.Error()))

		return
	}
	g.options.Log.Info("state announced", slog.String("state", string(state)), slog.String("before", string(g.announced)))
	g.announced = state
}
