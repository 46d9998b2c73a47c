package fake

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cockroachdb/errors"
)

var errShed = errors.New("no slot and no room to wait")

func init() {
	hlog.SetLevel(hlog.LevelFatal)
}

// drainGrace is how long after the start of a drain new work may still arrive.
const drainGrace = 3 * time.Second

// Caller makes the outgoing calls of a server.
type Caller interface {
	// Call returns the status and the body of the answer.
	Call(ctx context.Context, hop Hop, request, parent string) (int, []byte, error)
}

// Options are what stays the same while a server runs.
type Options struct {
	Service string
	Seed    uint64
	Routes  []Route
	// Ledger is shared with other servers, nil for an own one.
	Ledger *Ledger
	// Caller makes the outgoing calls, nil if no route has hops.
	Caller Caller
	// Address to listen on, empty for a free loopback port.
	Address string
}

// Server is one backend server.
type Server struct {
	options Options
	ledger  *Ledger
	address string
	began   time.Time
	slots   slots

	mu        sync.Mutex
	behaviour Behaviour
	caller    Caller
	random    *rand.Rand
	draining  time.Time
}

// New starts a server; the clean-up closes it with all its connections.
func New(ctx context.Context, options Options, behaviour Behaviour) (*Server, func(), error) {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", options.Address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen on %s", options.Address)
	}
	s := &Server{
		options: options,
		ledger:  options.Ledger,
		address: listener.Addr().String(),
		began:   time.Now(),
		caller:  options.Caller,
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
	}
	if s.ledger == nil {
		s.ledger = NewLedger()
	}
	s.Set(behaviour)
	tracked := newTracked(listener)
	ended := make(chan struct{})
	engine := s.engine(tracked)
	go func() {
		defer close(ended)
		_ = engine.Run()
	}()

	return s, func() {
		_ = engine.Close()
		tracked.closeAll()
		<-ended
	}, nil
}

func (s *Server) engine(listener net.Listener) *server.Hertz {
	engine := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(maxRequest),
		server.WithExitWaitTime(0),
	)
	engine.GET(pathBehaviour, s.showBehaviour)
	engine.PUT(pathBehaviour, s.putBehaviour)
	engine.GET(pathTotals, s.showTotals)
	engine.NoRoute(s.serve)

	return engine
}

const maxRequest = 8 << 20

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	return s.address
}

// Ledger returns what the server counts in.
func (s *Server) Ledger() *Ledger {
	return s.ledger
}

// Behaviour returns the behaviour at present.
func (s *Server) Behaviour() Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.behaviour
}

// Set replaces the behaviour.
func (s *Server) Set(behaviour Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if behaviour.Draining && !s.behaviour.Draining {
		s.draining = time.Now()
	}
	s.behaviour = behaviour
	s.slots.resize(behaviour.Slots, behaviour.Waiting)
}

// Change replaces the behaviour by what the function makes of it.
func (s *Server) Change(change func(*Behaviour)) {
	behaviour := s.Behaviour()
	change(&behaviour)
	s.Set(behaviour)
}

// SetCaller gives the server its way out, once the node beside it is known.
func (s *Server) SetCaller(caller Caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caller = caller
}

// Caller returns the way out, nil if there is none.
func (s *Server) Caller() Caller {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.caller
}

// serviceTime draws the time that one execution takes.
func (s *Server) serviceTime(mean time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.behaviour
	factor := b.slowFactor() * b.coldFactor(time.Since(s.began))
	if b.Spread > 0 {
		factor *= math.Exp(b.Spread*s.random.NormFloat64() - b.Spread*b.Spread/2)
	}

	return time.Duration(float64(mean) * factor)
}

// fails draws whether one request fails at once.
func (s *Server) fails() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.behaviour.FailShare > 0 && s.random.Float64() < s.behaviour.FailShare
}

// late reports whether new work is no longer expected.
func (s *Server) late() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.behaviour.Draining && time.Since(s.draining) > drainGrace
}

// load returns the reported utilisation, true or not.
func (s *Server) load() float64 {
	behaviour := s.Behaviour()
	if behaviour.Lie {
		return behaviour.LieLoad
	}

	return min(1, s.slots.load())
}
