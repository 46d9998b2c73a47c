package peers

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
)

// Name is the name under which the kernel knows the service.
const Name = "control"

const (
	defaultTimeout = 2 * time.Second
	defaultIdle    = 3 * time.Second
	defaultMaxOpen = 64
	// serverIdleFactor keeps a server from closing a connection that its client still counts on.
	serverIdleFactor = 3
	sweepsPerIdle    = 4
)

// Options configure the service; zero values mean the defaults.
type Options struct {
	// Listen is the address to bind, port 0 for a free one.
	Listen string
	// Timeout bounds a call whose context has no earlier deadline, and one write.
	Timeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout time.Duration
	// MaxConnections bounds the connections to others.
	MaxConnections int
	Log            *slog.Logger
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdle
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultMaxOpen
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}

	return o
}

// Service is the kernel service `control`: it serves the calls of peers and calls them.
type Service struct {
	options  Options
	counters *counters
	server   *server
	pool     *pool
	stopping chan struct{}
	stopped  chan struct{}
}

// New returns the service, which binds its address at Start.
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
	go s.sweep()

	return done, nil
}

// sweep closes idle connections until Stop.
func (s *Service) sweep() {
	ticker := time.NewTicker(s.options.IdleTimeout / sweepsPerIdle)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopping:
			return
		case now := <-ticker.C:
			s.pool.sweep(now)
		}
	}
}

// Stop closes all connections; calls under way end with an error.
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

// Address returns the bound address, from Start on.
func (s *Service) Address() string {
	return s.server.listener.Addr().String()
}

// Register serves the exported methods of the receiver as name.Method, in the form that net/rpc asks for.
func (s *Service) Register(name string, receiver any) error {
	return errors.Wrapf(s.server.rpc.RegisterName(name, receiver), "register %s for control", name)
}

// Call runs a method at the peer and sets the reply, a pointer, unless it returns an error; it gives up with the context or
// after the default timeout, and the next call to that peer then takes a new connection.
func (s *Service) Call(ctx context.Context, address, method string, args, reply any) error {
	bounded, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()

	return s.pool.call(bounded, address, method, args, reply)
}

// Traffic returns the bytes and dials so far.
func (s *Service) Traffic() Traffic {
	return s.counters.traffic()
}

// OpenConnections returns the number of open connections to others.
func (s *Service) OpenConnections() int {
	return s.pool.size()
}
