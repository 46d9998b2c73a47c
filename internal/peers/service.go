package peers

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
)

// Name is the kernel's name for the service.
const Name = "control"

const (
	defaultTimeout        = 2 * time.Second
	defaultIdleTimeout    = 3 * time.Second
	defaultMaxConnections = 64
	// serverIdleTimeoutFactor times the idle timeout is the server's read timeout, so that clients close idle connections first.
	serverIdleTimeoutFactor = 3
	sweepsPerIdleTimeout    = 4
)

// Options configures the service; zero values mean the defaults.
type Options struct {
	// Listen is the address to bind; port 0 selects a free port.
	Listen string
	// Timeout is the maximum duration of a call, and of one write.
	Timeout time.Duration
	// IdleTimeout is the duration after which an unused connection to a peer is closed.
	IdleTimeout time.Duration
	// MaxConnections bounds the open connections to peers.
	MaxConnections int
	Log            *slog.Logger
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}

	return o
}

// Service is the kernel service `control`: it calls peers and serves their calls. It is safe for concurrent use.
type Service struct {
	options  Options
	counters *counters
	server   *server
	pool     *pool
	stopping chan struct{}
	stopped  chan struct{}
}

// New returns a service that has not been started.
func New(options Options) *Service {
	options = options.withDefaults()
	counters := &counters{}

	return &Service{
		options:  options,
		counters: counters,
		server:   newServer(options, counters),
		pool:     newPool(options, counters),
		stopping: make(chan struct{}),
		stopped:  make(chan struct{}),
	}
}

// String returns the service's name.
func (*Service) String() string {
	return Name
}

// Start binds the address and accepts connections until Stop.
func (s *Service) Start(ctx context.Context, _ *kernel.Kernel) (<-chan error, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.options.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for control on %q", s.options.Listen)
	}
	s.server.listener = listener
	done := make(chan error, 1)
	go func() {
		defer close(s.stopped)
		done <- s.server.run(ctx)
	}()
	go s.closeIdleConnections()

	return done, nil
}

// closeIdleConnections closes idle connections until Stop.
func (s *Service) closeIdleConnections() {
	ticker := time.NewTicker(s.options.IdleTimeout / sweepsPerIdleTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopping:
			return
		case now := <-ticker.C:
			s.pool.closeIdle(now)
		}
	}
}

// Stop closes all connections, so that calls in flight end with an error, and waits for the server until the context ends.
func (s *Service) Stop(ctx context.Context) error {
	close(s.stopping)
	s.pool.stop()
	if err := s.server.stop(); err != nil {
		return errors.Wrap(err, "close control listener")
	}
	select {
	case <-s.stopped:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for control calls to end")
	}
}

// Address returns the bound address. It must not be called before Start.
func (s *Service) Address() string {
	return s.server.listener.Addr().String()
}

// Register serves the exported methods of the receiver as name.Method. They must have the form that net/rpc requires.
func (s *Service) Register(name string, receiver any) error {
	return errors.Wrapf(s.server.rpc.RegisterName(name, receiver), "register %s for control", name)
}

// Call runs a method at the peer and sets the reply, which must be a pointer, unless it returns an error. It ends with the context,
// at the latest after Options.Timeout. After a timeout the next call to that peer uses a new connection.
func (s *Service) Call(ctx context.Context, address, method string, args, reply any) error {
	callCtx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()

	return s.pool.call(callCtx, address, method, args, reply)
}

// Traffic returns the bytes and dials since the start.
func (s *Service) Traffic() Traffic {
	return s.counters.snapshot()
}

// OpenConnections returns the number of open connections to peers.
func (s *Service) OpenConnections() int {
	return s.pool.openConnections()
}
