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

// Name is the name of the service.
const Name = "life"

const (
	lookInterval = 250 * time.Millisecond
	lookTimeout  = time.Second
	maxPage      = 64 << 10
)

// Announcer tells the fleet of the node's state.
type Announcer interface {
	SetPeers(address string)
	SetState(state member.State) error
}

// Gate stops or lets through the calls of peers.
type Gate interface {
	Address() string
	SetDrainHandler(leaving func())
	SetState(state member.State)
}

// Options describe the backend server.
type Options struct {
	Address string
	// HealthPath is the path of its health page, empty for none.
	HealthPath string
	Log        *slog.Logger
}

// Monitor is the kernel service that follows the backend server.
type Monitor struct {
	options   Options
	once      sync.Once
	announcer Announcer
	gate      Gate
	client    *relay.Client
	close     func()
	leaving   chan struct{}
	cancel    context.CancelFunc
	ended     chan struct{}

	mu    sync.Mutex
	watch *Tracker
}

// New returns a service that still has to be started.
func New(options Options) *Monitor {
	client, closeClient := relay.NewClient(relay.BackendIdle)

	return &Monitor{
		options: options,
		client:  client,
		close:   closeClient,
		leaving: make(chan struct{}, 1),
		ended:   make(chan struct{}),
		watch:   NewTracker(options.HealthPath != ""),
	}
}

// String returns the name of the service.
func (l *Monitor) String() string {
	return Name
}

// Start looks at the backend server once, and then again and again until Stop.
func (l *Monitor) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if l.announcer, err = kernel.Find[Announcer](k, "gossip"); err != nil {
		return nil, err
	}
	if l.gate, err = kernel.Find[Gate](k, "exec"); err != nil {
		return nil, err
	}
	l.announcer.SetPeers(l.gate.Address())
	l.gate.SetDrainHandler(l.noteDraining)
	l.gate.SetState(l.state())
	ctx, l.cancel = context.WithCancel(ctx)
	l.look(ctx, false)
	done := make(chan error, 1)
	go l.run(ctx, done)

	return done, nil
}

// Stop ends the watch, so that it changes the node's state no more; it may be called twice.
func (l *Monitor) Stop(_ context.Context) error {
	l.once.Do(func() {
		l.cancel()
		<-l.ended
		l.close()
	})

	return nil
}

// noteDraining takes the backend server's word, on an answer, that it is leaving.
func (l *Monitor) noteDraining() {
	select {
	case l.leaving <- struct{}{}:
	default:
	}
}

func (l *Monitor) run(ctx context.Context, done chan<- error) {
	defer close(l.ended)
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			done <- nil

			return
		case <-l.leaving:
			l.see(ctx, Observation{Draining: true})
		case <-ticker.C:
			l.look(ctx, true)
		}
	}
}

// look asks the backend server unless it serves, when its answers tell enough.
func (l *Monitor) look(ctx context.Context, sparing bool) {
	if sparing && l.options.HealthPath == "" && l.state() == member.StateServing {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	sight := Observation{Reachable: l.connects(ctx)}
	if sight.Reachable {
		sight.Healthy, sight.Draining = l.page(ctx)
	}
	l.see(ctx, sight)
}

func (l *Monitor) state() member.State {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.watch.State()
}

func (l *Monitor) see(ctx context.Context, sight Observation) {
	l.mu.Lock()
	changed := l.watch.Observe(sight)
	state := l.watch.State()
	l.mu.Unlock()
	if !changed {
		return
	}
	l.gate.SetState(state)
	err := l.announcer.SetState(state)
	l.options.Log.LogAttrs(ctx, slog.LevelInfo, "backend server changed",
		slog.String("state", string(state)),
		slog.Bool("connects", sight.Reachable),
		slog.Bool("healthy", sight.Healthy),
		slog.Bool("draining", sight.Draining),
		slog.Any("error", err),
	)
}

func (l *Monitor) connects(ctx context.Context) bool {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.options.Address)
	if err != nil {
		return false
	}

	return conn.Close() == nil
}

// page reads the health page; a server without one counts as healthy.
func (l *Monitor) page(ctx context.Context) (healthy, draining bool) {
	if l.options.HealthPath == "" {
		return true, false
	}
	request := &protocol.Request{}
	request.Header.SetRequestURI(l.options.HealthPath)
	request.Header.SetHost(l.options.Address)
	answer := &relay.Answer{}
	defer answer.Close()
	if err := l.client.Do(ctx, l.options.Address, request, answer, relay.Limits{Body: maxPage}); err != nil {
		return false, false
	}
	status := answer.Response.StatusCode()

	return status >= 200 && status < 300, wire.Draining(&answer.Response.Header)
}
