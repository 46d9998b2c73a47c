package life

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// Name is the kernel's name for the service.
const Name = "life"

const (
	checkInterval      = 250 * time.Millisecond
	checkTimeout       = time.Second
	maxHealthBodyBytes = 64 << 10
)

// Announcer announces the node's state and its address for forwarded calls to the fleet.
type Announcer interface {
	SetPeers(address string)
	SetState(state member.State) error
}

// Gate admits or refuses forwarded calls depending on the node's state.
type Gate interface {
	Address() string
	SetDrainHandler(handler func())
	SetState(state member.State)
}

// Options describes the local backend server.
type Options struct {
	Address string
	// HealthPath is the path of its health endpoint, empty if it has none.
	HealthPath string
	Log        *slog.Logger
}

// Monitor is the kernel service that monitors the local backend server.
type Monitor struct {
	options     Options
	stopOnce    sync.Once
	announcer   Announcer
	gate        Gate
	client      *relay.Client
	closeClient func()
	drainSignal chan struct{}
	cancel      context.CancelFunc
	stopped     chan struct{}

	mu      sync.Mutex
	tracker *Tracker
}

// New returns a service that has not been started.
func New(options Options) *Monitor {
	client, closeClient := relay.NewClient(relay.BackendIdleTimeout)

	return &Monitor{
		options:     options,
		client:      client,
		closeClient: closeClient,
		drainSignal: make(chan struct{}, 1),
		stopped:     make(chan struct{}),
		tracker:     NewTracker(options.HealthPath != ""),
	}
}

// String returns the name of the service.
func (m *Monitor) String() string {
	return Name
}

// Start checks the backend server once before it returns, then periodically until Stop. It requires the services `gossip`
// and `exec`.
func (m *Monitor) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if m.announcer, err = kernel.Find[Announcer](k, "gossip"); err != nil {
		return nil, err
	}
	if m.gate, err = kernel.Find[Gate](k, "exec"); err != nil {
		return nil, err
	}
	m.announcer.SetPeers(m.gate.Address())
	m.gate.SetDrainHandler(m.signalDraining)
	m.gate.SetState(m.state())
	ctx, m.cancel = context.WithCancel(ctx)
	m.check(ctx, false)
	done := make(chan error, 1)
	go m.run(ctx, done)

	return done, nil
}

// Stop ends the checks; afterwards the monitor no longer changes the node's state. Stop may be called more than once.
func (m *Monitor) Stop(_ context.Context) error {
	m.stopOnce.Do(func() {
		m.cancel()
		<-m.stopped
		m.closeClient()
	})

	return nil
}

// signalDraining records that a response of the backend server said that it is draining. It does not block.
func (m *Monitor) signalDraining() {
	select {
	case m.drainSignal <- struct{}{}:
	default:
	}
}

// run performs the periodic checks until the context ends, and handles drain signals between them.
func (m *Monitor) run(ctx context.Context, done chan<- error) {
	defer close(m.stopped)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			done <- nil

			return
		case <-m.drainSignal:
			m.observe(ctx, Observation{Draining: true})
		case <-ticker.C:
			m.check(ctx, true)
		}
	}
}

// check performs one health check. Periodic checks skip a serving backend server without a health endpoint, since its responses to
// calls announce draining.
func (m *Monitor) check(ctx context.Context, periodic bool) {
	if periodic && m.options.HealthPath == "" && m.state() == member.StateServing {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	observation := Observation{Reachable: m.canConnect(ctx)}
	if observation.Reachable {
		observation.Healthy, observation.Draining = m.checkHealth(ctx)
	}
	m.observe(ctx, observation)
}

// state returns the state that the node should announce.
func (m *Monitor) state() member.State {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.tracker.State()
}

// observe passes the observation to the tracker, and announces the node's state if it changed.
func (m *Monitor) observe(ctx context.Context, observation Observation) {
	m.mu.Lock()
	changed := m.tracker.Observe(observation)
	state := m.tracker.State()
	m.mu.Unlock()
	if !changed {
		return
	}
	m.gate.SetState(state)
	err := m.announcer.SetState(state)
	m.options.Log.LogAttrs(ctx, slog.LevelInfo, "backend server state changed",
		slog.String("state", string(state)),
		slog.Bool("connects", observation.Reachable),
		slog.Bool("healthy", observation.Healthy),
		slog.Bool("draining", observation.Draining),
		slog.Any("error", err),
	)
}

func (m *Monitor) canConnect(ctx context.Context) bool {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", m.options.Address)
	if err != nil {
		return false
	}

	return conn.Close() == nil
}

// checkHealth requests the health endpoint. A backend server without one counts as healthy.
func (m *Monitor) checkHealth(ctx context.Context) (healthy, draining bool) {
	if m.options.HealthPath == "" {
		return true, false
	}
	request := &protocol.Request{}
	request.Header.SetRequestURI(m.options.HealthPath)
	request.Header.SetHost(m.options.Address)
	reply := &relay.Response{}
	defer reply.Close()
	if err := m.client.Do(ctx, m.options.Address, request, reply, relay.Limits{MaxBodyBytes: maxHealthBodyBytes}); err != nil {
		return false, false
	}
	status := reply.Response.StatusCode()

	return status >= 200 && status < 300, wire.Draining(&reply.Response.Header)
}
