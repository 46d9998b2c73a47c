package listen

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/suite"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/budget"
	"github.com/pistachiotack/pistachiotack/internal/waits"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
)

const (
	defaultIdleTimeout = time.Minute
	// readTimeout bounds the time to read a header, the time to read a body, and the wait for the first request on a connection.
	readTimeout = 30 * time.Second
	// defaultMaxHeader is the default size limit in bytes of a request header.
	defaultMaxHeader = 64 << 10
	// maxKeptBody is the size in bytes up to which the buffer of a request body is reused for the next request.
	maxKeptBody = 16 << 10
	// closeTimeout bounds the wait for idle keep-alive connections when the server is closed.
	closeTimeout = 50 * time.Millisecond
	// sendTimeout bounds the wait for responses that are being sent when the server is closed.
	sendTimeout = time.Second
	// Each of the two waits takes at most a share of the time that is left, since other services have to be closed as well.
	closeShare = 0.2
	sendShare  = 0.5
	anyPath    = "/*path"
)

// Silences hertz's own logger, since the node logs the start and stop of its services itself.
func init() {
	hlog.SetLevel(hlog.LevelFatal)
}

// Server is an HTTP server on one address.
type Server struct {
	hertz      *server.Hertz
	listener   *drainableListener
	done       chan error
	repeatable func(header *protocol.RequestHeader) bool
	bounds     routes.Limits
	tighter    func() routes.Limits
	// bodies bounds the larger request bodies together.
	bodies             *budget.Budget
	keepAlivesDisabled atomic.Bool
	// The end of handlerContext ends the contexts of all handlers; cancelHandlers ends it.
	handlerContext context.Context
	cancelHandlers context.CancelFunc
	// openRequests is the number of requests that have been read and have no sent response.
	openRequests atomic.Int64
	// reading is the number of requests whose first bytes have arrived and which have not been read as a whole.
	reading atomic.Int64
	// lastEndedAt is when the latest request ended, in Unix nanoseconds.
	lastEndedAt atomic.Int64
}

// Options configures a Server.
type Options struct {
	// MaxBody is the largest request body in bytes.
	MaxBody int
	// MaxHeader is the largest request header in bytes, zero for the default of 64 KiB.
	MaxHeader int
	// Repeatable reports whether a request may run beside others of its connection, and more than once. Requests that clients send
	// before the response to the one before are then handled side by side. If nil, they are handled one after the other.
	Repeatable func(header *protocol.RequestHeader) bool
	// Idle is the timeout of idle keep-alive connections, zero for the default of 1 min.
	Idle time.Duration
	// Limits returns tighter limits, which may change at any time, nil for none. Its idle timeout bounds the wait for the first request
	// on a connection as well.
	Limits func() routes.Limits
	// Routes registers handlers for paths that the main handler doesn't serve, nil for none.
	Routes func(*server.Hertz)
}

// bounds returns the limits that hold whatever the function in Limits returns.
func (o Options) bounds() routes.Limits {
	return routes.Limits{
		MaxHeader:     cmp.Or(o.MaxHeader, defaultMaxHeader),
		MaxBody:       o.MaxBody,
		HeaderTimeout: readTimeout,
		IdleTimeout:   cmp.Or(o.Idle, defaultIdleTimeout),
	}
}

// New listens on the address, port 0 for a free port, and serves requests until Close. The handler receives all methods and paths
// without a route of their own; it may be nil if there are Routes.
func New(address string, handler app.HandlerFunc, options Options) (*Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &Server{
		listener:   newDrainableListener(listener),
		done:       make(chan error, 1),
		repeatable: options.Repeatable,
		bounds:     options.bounds(),
		tighter:    options.Limits,
		bodies:     budget.New(maxBodies),
	}
	s.handlerContext, s.cancelHandlers = context.WithCancel(context.Background())
	if s.tighter == nil {
		s.tighter = func() routes.Limits { return routes.Limits{} }
	}
	if s.repeatable == nil {
		s.repeatable = func(*protocol.RequestHeader) bool { return false }
	}
	s.hertz = server.New(
		server.WithListener(s.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(withSocket),
		server.WithRedirectTrailingSlash(false),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(closeTimeout),
		server.WithMaxKeepBodySize(maxKeptBody),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	)
	s.hertz.AddProtocol(suite.HTTP1, s)
	s.hertz.Use(s.closeAfterResponse)
	if options.Routes != nil {
		options.Routes(s.hertz)
	}
	if handler != nil {
		s.hertz.Any(anyPath, handler)
	}
	go s.serve()

	return s, nil
}

// limits returns the limits that hold for requests from now on.
func (s *Server) limits() routes.Limits {
	return s.bounds.WithTighter(s.tighter())
}

// firstTimeout returns the timeout of connections that have not sent a request yet.
func (s *Server) firstTimeout() time.Duration {
	return routes.Limits{IdleTimeout: readTimeout}.WithTighter(s.tighter()).IdleTimeout
}

// Address returns the bound address.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Done returns a channel that receives the result when the server has ended.
func (s *Server) Done() <-chan error {
	return s.done
}

// closeAfterResponse closes the connection after the response once keep-alives are disabled.
func (s *Server) closeAfterResponse(c context.Context, ctx *app.RequestContext) {
	ctx.Next(c)
	if s.keepAlivesDisabled.Load() {
		ctx.Response.SetConnectionClose()
	}
}

// beginRequest counts a request that has been read, and endRequest one whose response has been sent or dropped.
func (s *Server) beginRequest() {
	s.openRequests.Add(1)
}

func (s *Server) endRequest() {
	s.lastEndedAt.Store(time.Now().UnixNano())
	s.openRequests.Add(-1)
}

// GiveUp cancels the contexts of all handlers, whose responses are still sent.
func (s *Server) GiveUp() {
	s.cancelHandlers()
}

// Close stops the server. Requests must have been drained before; responses that are still being sent get sendTimeout.
func (s *Server) Close(ctx context.Context) error {
	defer s.cancelHandlers()
	s.waitForResponses(ctx)
	ctx, cancelShare := waits.WithShare(ctx, closeShare)
	defer cancelShare()
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := s.hertz.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return errors.Wrapf(err, "close listener %s", s.Address())
	}

	return nil
}

// OpenRequests returns the number of requests that have been read and whose responses have not been sent.
func (s *Server) OpenRequests() int64 {
	return s.openRequests.Load()
}

// ActiveRequests returns the number of requests that are being read or whose responses have not been sent.
func (s *Server) ActiveRequests() int64 {
	return s.reading.Load() + s.openRequests.Load()
}

func (s *Server) waitForResponses(ctx context.Context) {
	ctx, cancelShare := waits.WithShare(ctx, sendShare)
	defer cancelShare()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for s.openRequests.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) serve() {
	s.done <- s.hertz.Run()
}
