package listen

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cockroachdb/errors"
)

const (
	idleTimeout = time.Minute
	readTimeout = 30 * time.Second
	// keepBody is the largest body in bytes whose space is kept for the next request.
	keepBody = 16 << 10
	// closeTimeout bounds the wait for idle keep-alive connections at the end.
	closeTimeout = 50 * time.Millisecond
	anyPath      = "/*path"
)

// The library reports each start and stop on its own logger, which the product's log replaces.
func init() {
	hlog.SetLevel(hlog.LevelFatal)
}

// Server is one listener with one handler for all methods and paths.
type Server struct {
	hertz    *server.Hertz
	listener *gate
	done     chan error
	leaving  atomic.Bool
	open     atomic.Int64
	// lastEnd is when the latest request ended, in nanoseconds of Unix time.
	lastEnd atomic.Int64
}

// Options bounds what the listener accepts.
type Options struct {
	// MaxBody is the largest request body in bytes.
	MaxBody int
	// Idle is how long a connection may stay unused, zero for the default.
	Idle time.Duration
	// Routes registers handlers for paths of their own, nil for the one handler alone.
	Routes func(*server.Hertz)
}

// New binds the address, port 0 for a free one, and serves the handler until Close.
func New(address string, handler app.HandlerFunc, options Options) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	idle := idleTimeout
	if options.Idle > 0 {
		idle = options.Idle
	}
	s := &Server{listener: newGate(listener), done: make(chan error, 1)}
	s.hertz = server.New(
		server.WithListener(s.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithMaxRequestBodySize(options.MaxBody),
		server.WithIdleTimeout(idle),
		server.WithReadTimeout(readTimeout),
		server.WithRedirectTrailingSlash(false),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisableDefaultContentType(true),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(closeTimeout),
		server.WithMaxKeepBodySize(keepBody),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	)
	s.hertz.Use(s.track)
	if options.Routes != nil {
		options.Routes(s.hertz)
	}
	if handler != nil {
		s.hertz.Any(anyPath, handler)
	}
	go s.serve()

	return s, nil
}

// Address returns the bound address.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Done reports the end of the listener.
func (s *Server) Done() <-chan error {
	return s.done
}

// track counts open requests.
func (s *Server) track(c context.Context, ctx *app.RequestContext) {
	s.open.Add(1)
	defer s.open.Add(-1)
	ctx.Next(c)
	s.lastEnd.Store(time.Now().UnixNano())
	if s.leaving.Load() {
		ctx.Response.SetConnectionClose()
	}
}

// Close stops listening; requests must have been drained before.
func (s *Server) Close(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := s.hertz.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return errors.Wrapf(err, "close listener %s", s.Address())
	}

	return nil
}

func (s *Server) serve() {
	s.done <- s.hertz.Run()
}
