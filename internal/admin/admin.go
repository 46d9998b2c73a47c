package admin

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/listen"
	"github.com/pistachiotack/pistachiotack/internal/meter"
	"github.com/pistachiotack/pistachiotack/internal/trace"
)

// Name is the name of the service.
const Name = "admin"

// maxBody is the largest request body in bytes, a settings tree.
const maxBody = 4 << 20

// Route is one page of a service.
type Route struct {
	Method string
	Path   string
	Handle app.HandlerFunc
}

// RouteProvider is a service that offers pages to operators.
type RouteProvider interface {
	Routes() []Route
}

// Admin is the kernel service of the operators' listener.
type Admin struct {
	address string
	pages   []string
	server  *listen.Server
}

// New returns a listener for operators that shows the pages of the named services.
func New(address string, pages ...string) *Admin {
	return &Admin{address: address, pages: pages}
}

// String returns the name of the service.
func (a *Admin) String() string {
	return Name
}

// Start collects the pages and opens the listener.
func (a *Admin) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	routes, err := a.collect(k)
	if err != nil {
		return nil, err
	}
	a.server, err = listen.New(a.address, nil, listen.Options{MaxBody: maxBody, Routes: func(h *server.Hertz) {
		for _, route := range routes {
			h.Handle(route.Method, route.Path, route.Handle)
		}
	}})
	if err != nil {
		return nil, err
	}

	return a.server.Done(), nil
}

// Stop closes the listener.
func (a *Admin) Stop(ctx context.Context) error {
	return a.server.Close(ctx)
}

// Address returns the address for operators.
func (a *Admin) Address() string {
	return a.server.Address()
}

func (a *Admin) collect(k *kernel.Kernel) ([]Route, error) {
	log, err := kernel.Find[*trace.Log](k, trace.Name)
	if err != nil {
		return nil, err
	}
	metrics, err := kernel.Find[*meter.Meter](k, meter.Name)
	if err != nil {
		return nil, err
	}
	metrics.RegisterGauge("decisions_dropped", func() float64 { return float64(log.Dropped()) })
	routes := []Route{
		{Method: "GET", Path: "/metrics", Handle: showMetrics(metrics)},
		{Method: "GET", Path: "/explain/:id", Handle: func(_ context.Context, ctx *app.RequestContext) {
			ctx.JSON(statusOK, Explanation{Decisions: log.Explain(ctx.Param("id")), Dropped: log.Dropped()})
		}},
	}
	for _, name := range a.pages {
		pages, err := kernel.Find[RouteProvider](k, name)
		if err != nil {
			return nil, errors.Wrap(err, "collect pages")
		}
		routes = append(routes, pages.Routes()...)
	}

	return routes, nil
}

func showMetrics(metrics *meter.Meter) app.HandlerFunc {
	return func(_ context.Context, ctx *app.RequestContext) {
		ctx.SetContentType("text/plain; version=0.0.4")
		if err := metrics.WriteText(ctx); err != nil {
			ctx.AbortWithMsg(err.Error(), statusFailed)
		}
	}
}

const (
	statusOK     = 200
	statusFailed = 500
)

// Explanation is what one node knows of an operation or a root request.
type Explanation struct {
	Decisions []trace.Decision `json:"decisions"`
	// Dropped counts decisions that did not reach the log file.
	Dropped uint64 `json:"dropped"`
}
