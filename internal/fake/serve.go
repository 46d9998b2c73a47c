package fake

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/wire"
)

// Query parameters that mark requests of the bench: which one, and whether it is a hop.
const (
	QueryRequest = "request"
	queryHop     = "hop"
)

// HeaderRequest marks all tries of one request of a bench's caller, with or without an idempotency key.
const HeaderRequest = "Fake-Request"

// visit is one request as it arrived.
type visit struct {
	request   string
	key       string
	operation string
	parent    string
	hop       bool
	seed      uint64
	route     Route
}

func (s *Server) serve(ctx context.Context, c *app.RequestContext) {
	s.report(c)
	route, found := s.route(string(c.Method()), string(c.Path()))
	if !found {
		c.String(http.StatusNotFound, "no such kind of request\n")

		return
	}
	v := newVisit(c, route)
	s.ledger.add(v.request, func(r *Record, t *Totals) {
		r.Arrivals++
		t.Arrivals++
		if s.late() {
			t.AfterDrain++
		}
	})
	if v.operation != "" {
		c.Header(wire.HeaderOperation, v.operation)
	}
	ctx, cancel := deadline(ctx, c)
	if route.Archive {
		s.archive(ctx, cancel, c, v)

		return
	}
	defer cancel()
	s.answer(ctx, c, v)
}

func newVisit(c *app.RequestContext, route Route) visit {
	v := visit{
		request:   c.Query(QueryRequest),
		key:       cmp.Or(string(c.GetHeader(HeaderRequest)), string(c.GetHeader(wire.HeaderIdempotencyKey))),
		operation: string(c.GetHeader(wire.HeaderOperation)),
		parent:    string(c.GetHeader(wire.HeaderParent)),
		hop:       c.Query(queryHop) != "",
		route:     route,
	}
	v.seed = Seed(string(c.Method()), string(c.URI().RequestURI()), c.Request.Body())
	if route.Archive {
		v.seed = ArchiveSeed(string(c.Path()))
	}

	return v
}

func (s *Server) route(method, path string) (Route, bool) {
	for _, route := range s.options.Routes {
		if route.matches(method, path) {
			return route, true
		}
	}

	return Route{}, false
}

// report adds what the server says of itself to an answer.
func (s *Server) report(c *app.RequestContext) {
	c.Header(wire.HeaderLoad, strconv.FormatFloat(s.load(), 'f', 3, 64))
	if s.Behaviour().Draining {
		c.Header(wire.HeaderDraining, "true")
	}
}

func deadline(ctx context.Context, c *app.RequestContext) (context.Context, context.CancelFunc) {
	remaining, err := time.ParseDuration(string(c.GetHeader(wire.HeaderTimeout)))
	if err != nil {
		return context.WithCancel(ctx)
	}

	return context.WithTimeout(ctx, remaining)
}

func (s *Server) answer(ctx context.Context, c *app.RequestContext, v visit) {
	status, err := s.run(ctx, v)
	switch {
	case errors.Is(err, errShed):
		s.shed(c)
	case err != nil:
		s.ledger.add(v.request, func(_ *Record, t *Totals) { t.Cancelled++ })
		c.String(http.StatusGatewayTimeout, "gave up: "+err.Error()+"\n")
	case status != http.StatusOK:
		s.ledger.add(v.request, func(_ *Record, t *Totals) { t.Failed++ })
		c.String(status, "failed\n")
	default:
		s.ledger.add(v.request, func(_ *Record, t *Totals) { t.Answered++ })
		c.Data(http.StatusOK, "application/octet-stream", Body(v.seed, v.route.Bytes))
	}
}

func (s *Server) shed(c *app.RequestContext) {
	s.ledger.add(c.Query(QueryRequest), func(_ *Record, t *Totals) { t.Shed++ })
	c.Header(wire.HeaderOutcome, "notRun")
	c.Header(wire.HeaderRetryAfter, "1")
	c.String(http.StatusServiceUnavailable, "no slot\n")
}

// run holds a slot for the hops and the work, and returns the status of the answer.
func (s *Server) run(ctx context.Context, v visit) (int, error) {
	if s.fails() {
		return http.StatusInternalServerError, nil
	}
	if s.Behaviour().Silent {
		<-ctx.Done()

		return 0, ctx.Err()
	}
	if err := s.slots.acquire(ctx); err != nil {
		return 0, err
	}
	began := time.Now()
	s.ledger.started(v)
	defer func() {
		s.slots.release()
		s.ledger.ended(v, time.Since(began))
	}()
	for _, hop := range v.route.Hops {
		if status, err := s.hop(ctx, v, hop); err != nil || status != http.StatusOK {
			return status, err
		}
	}

	return http.StatusOK, sleep(ctx, s.serviceTime(v.route.Work))
}

// hop makes one outgoing call and checks its answer.
func (s *Server) hop(ctx context.Context, v visit, hop Hop) (int, error) {
	caller := s.Caller()
	if caller == nil {
		return http.StatusBadGateway, nil
	}
	hop.Path = HopPath(hop.Path, v.request)
	status, body, err := caller.Call(ctx, hop, v.request, v.parent)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	if err != nil {
		status = http.StatusBadGateway
	}
	if status == http.StatusOK && string(body) != string(Body(Seed(hop.Method, hop.Path, nil), hop.Bytes)) {
		s.ledger.add(v.request, func(_ *Record, t *Totals) { t.HopWrong++ })
		status = http.StatusBadGateway
	}
	if status != http.StatusOK {
		s.ledger.add(v.request, func(_ *Record, t *Totals) { t.HopFailed++ })
	}

	return status, nil
}

// HopPath returns the path of an outgoing call that belongs to the request.
func HopPath(path, request string) string {
	return path + "?" + QueryRequest + "=" + request + "&" + queryHop + "=1"
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
