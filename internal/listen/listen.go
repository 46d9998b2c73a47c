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
	defaultIdleTimeout = time.Minute
	readTimeout        = 30 * time.Second
	// maxKeptBody is the size in bytes up to which the buffer of a request body is reused for the next request.
	maxKeptBody = 16 << 10
	// closeTimeout bounds the wait for idle keep-alive connections when the server is closed.
	closeTimeout = 50 * time.Millisecond
	anyPath      = "/*path"
)

// Silences hertz's own logger, since the node logs the start and stop of its services itself.
func init() {
	hlog.SetLevel(hlog.LevelFatal)
}

// Server is an HTTP server on one address.
type Server struct {
	hertz              *server.Hertz
	listener           *drainableListener
	done               chan error
	keepAlivesDisabled atomic.Bool
	openRequests       atomic.Int64
	// lastEndedAt is when the latest request ended, in Unix nanoseconds.
	lastEndedAt atomic.Int64
}

// Options configures a Server.
type Options struct {
	// MaxBody is the largest request body in bytes.
	MaxBody int
	// Idle is the timeout of idle keep-alive connections, zero for the default of 1 min.
	Idle time.Duration
	// Routes registers handlers for paths that the main handler doesn't serve, nil for none.
	Routes func(*server.Hertz)
}

// New listens on the address, port 0 for a free port, and serves requests until Close. The handler receives all methods and paths
// without a route of their own; it may be nil if there are Routes.
func New(address string, handler app.HandlerFunc, options Options) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	idle := defaultIdleTimeout
	if options.Idle > 0 {
		idle = options.Idle
	}
	s := &Server{listener: newDrainableListener(listener), done: make(chan error, 1)}
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
		server.WithMaxKeepBodySize(maxKeptBody),
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

// Done returns a channel that receives the result when the server has ended.
func (s *Server) Done() <-chan error {
	return s.done
}

// track counts requests in progress, and closes the connection after the response once keep-alives are disabled.
func (s *Server) track(c context.Context, ctx *app.RequestContext) {
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	ctx.Next(c)
	s.lastEndedAt.Store(time.Now().UnixNano())
	if s.keepAlivesDisabled.Load() {
		ctx.Response.SetConnectionClose()
	}
}

// Close stops the server. Requests must have been drained before.
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
