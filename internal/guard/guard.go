package guard

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/listen"
	"github.com/pistachiotack/pistachiotack/internal/meter"
	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/beat"
	"github.com/pistachiotack/pistachiotack/pkg/fanout"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/queue"
)

// Name is the name of the service.
const Name = "guard"

const (
	// maxBody is the largest request body in bytes that a peer may send.
	maxBody = 128 << 20
	// backendIdle is the time after which an idle connection to the backend server is not used again.
	backendIdle = 3 * time.Second
	// tickInterval is the time between looks at the backend server's silence.
	tickInterval = 250 * time.Millisecond
)

// Announcer tells the fleet of the node's state, and knows its members.
type Announcer interface {
	SetPeers(address string)
	SetState(state member.State) error
	All() []member.Entry
}

// Demand learns from executions, and describes the load of call trees.
type Demand interface {
	CountExecution(hop wire.Hop, services int) fanout.Origin
	FailedRecently(now time.Time) bool
	CompleteReport(now time.Time, route string, report wire.Report) wire.Report
}

// Holder tells which version of the routes is in force.
type Holder interface {
	Revision() uint64
}

// Tracer takes decisions for the log.
type Tracer interface {
	Decide(decision trace.Decision)
}

// Options are the fixed properties of the service.
type Options struct {
	// Listen is the address for other nodes.
	Listen  string
	Service string
	// Backend is the address of the backend server.
	Backend string
	// Interval is the time between two heartbeats of the backend server.
	Interval time.Duration
	Dialect  Dialect
	Log      *slog.Logger
}

// Guard is the kernel service.
type Guard struct {
	options   Options
	announcer Announcer
	demand    Demand
	holder    Holder
	tracer    Tracer
	refused   *meter.Series[tally.Counter]
	client    *relay.Client
	close     func()
	server    *listen.Server
	active    atomic.Int64
	closing   atomic.Bool
	// services is the number of services in the fleet.
	services atomic.Int64
	cancel   context.CancelFunc
	ended    chan struct{}

	mu       sync.Mutex
	backend  *beat.Server
	queue    *queue.Queue
	declared member.State
	dials    int
}

// New returns a service that knows of no backend server yet.
func New(options Options) *Guard {
	client, closeClient := relay.NewClient(backendIdle)

	return &Guard{
		options:  options,
		client:   client,
		close:    closeClient,
		ended:    make(chan struct{}),
		backend:  beat.NewServer(beat.Options{Service: options.Service, Address: options.Backend, Interval: options.Interval}),
		queue:    queue.New(limits(0)),
		declared: member.StateStarting,
	}
}

// String returns the name of the service.
func (*Guard) String() string {
	return Name
}

// Start opens the listener for other nodes.
func (g *Guard) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	if err := g.find(k); err != nil {
		return nil, err
	}
	var err error
	if g.server, err = listen.New(g.options.Listen, g.handle, listen.Options{MaxBody: maxBody}); err != nil {
		return nil, err
	}
	g.announcer.SetPeers(g.server.Address())
	ctx, g.cancel = context.WithCancel(ctx)
	go g.watch(ctx)

	return g.server.Done(), nil
}

func (g *Guard) find(k *kernel.Kernel) error {
	var metrics *meter.Meter
	err := kernel.FindAll(k,
		kernel.Into("gossip", &g.announcer),
		kernel.Into("demand", &g.demand),
		kernel.Into("holder", &g.holder),
		kernel.Into(trace.Name, &g.tracer),
		kernel.Into(meter.Name, &metrics),
	)
	if err == nil {
		g.refused = meter.NewCounters(metrics.Scope().SubScope(Name), "refused", "reason")
	}

	return err
}

// Stop closes the listener and the connections to the backend server.
func (g *Guard) Stop(ctx context.Context) error {
	defer g.close()
	g.cancel()
	<-g.ended

	return g.server.Close(ctx)
}

// Address returns the address for other nodes.
func (g *Guard) Address() string {
	return g.server.Address()
}

// Leave refuses new calls from now on; those that run go on.
func (g *Guard) Leave() {
	g.closing.Store(true)
	g.server.Leave()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.declare(member.StateDraining)
}

// Active returns the number of calls that wait or run.
func (g *Guard) Active() int64 {
	return g.active.Load()
}

// Load returns the calls that run or wait per slot, 0 without a backend server.
func (g *Guard) Load() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := g.queue.Load()
	if load.Slots <= 0 {
		return 0
	}

	return float64(load.Running+load.Waiting) / float64(load.Slots)
}

// Hear takes a heartbeat of a backend server.
func (g *Guard) Hear(now time.Time, report beat.Heartbeat) beat.Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.backend.LastHeartbeat()
	verdict := g.backend.HandleHeartbeat(now, report)
	if verdict == beat.VerdictAccepted && (before.ID != report.ID || !before.StartedAt.Equal(report.StartedAt)) {
		g.options.Log.Info("backend server found", slog.String("process", report.String()), slog.Int("slots", report.Slots))
		g.client.CloseConnections(g.options.Backend)
		g.dials = 0
	}
	g.follow(now)

	return verdict
}

// Gone takes the word of a backend server that it has left.
func (g *Guard) Gone(now time.Time, id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.backend.Deregister(now, id)
	g.follow(now)

	return known
}

// Past returns what must be known of the backend server after a restart of the node, false if nothing.
func (g *Guard) Past(now time.Time) (beat.Snapshot, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.backend.Snapshot(now)
}

// Resume takes in what was known before a restart of the node, and reports whether the backend server is ready by it.
func (g *Guard) Resume(now time.Time, past beat.Snapshot, alive bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	resumed := g.backend.Restore(now, past, alive)
	g.follow(now)

	return resumed
}

// watch loses a backend server that has gone silent.
func (g *Guard) watch(ctx context.Context) {
	defer close(g.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.tick(now)
		}
	}
}

func (g *Guard) tick(now time.Time) {
	g.countServices()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.backend.Tick(now) {
		g.options.Log.Warn("backend server lost", slog.String("process", g.backend.LastHeartbeat().String()), slog.String("reason", "silent"))
		g.follow(now)
	}
	g.queue.Expire(now)
}

func (g *Guard) countServices() {
	seen := map[string]bool{}
	for _, entry := range g.announcer.All() {
		seen[entry.Service] = true
	}
	g.services.Store(int64(len(seen)))
}

// follow brings queue and membership in line with the backend server; the caller holds the lock.
func (g *Guard) follow(now time.Time) {
	switch g.backend.State() {
	case beat.StateReady:
		g.queue.SetLimits(now, limits(g.backend.LastHeartbeat().Slots))
		g.declare(member.StateServing)
	case beat.StateDraining:
		g.queue.RefuseAll(reasonDraining)
		g.declare(member.StateDraining)
	case beat.StateLost:
		g.queue.RefuseAll(reasonLost)
		g.declare(member.StateDraining)
	case beat.StateAbsent:
	}
}

// declare tells the fleet of a change; the caller holds the lock.
func (g *Guard) declare(state member.State) {
	if g.declared == state || (g.closing.Load() && state != member.StateDraining) {
		return
	}
	if err := g.announcer.SetState(state); err != nil {
		g.options.Log.Warn("state not announced", slog.String("state", string(state)), slog.String("error", err.Error()))

		return
	}
	g.options.Log.Info("state announced", slog.String("state", string(state)), slog.String("before", string(g.declared)))
	g.declared = state
}
