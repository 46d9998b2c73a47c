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

// Name is the name of the kernel service.
const Name = "admin"

// maxBodyBytes bounds request bodies, of which settings trees are the largest.
const maxBodyBytes = 4 << 20

// Route is an HTTP route for operators.
type Route struct {
	Method string
	Path   string
	Handle app.HandlerFunc
}

// RouteProvider is a kernel service with routes for operators.
type RouteProvider interface {
	Routes() []Route
}

// Admin is the kernel service that owns the listener for operators.
type Admin struct {
	address   string
	providers []string
	server    *listen.Server
}

// New returns a service that listens on the address and serves the routes of the named kernel services besides its own.
func New(address string, providers ...string) *Admin {
	return &Admin{address: address, providers: providers}
}

// String returns Name.
func (a *Admin) String() string {
	return Name
}

// Start collects the routes and opens the listener.
func (a *Admin) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	routes, err := a.collectRoutes(k)
	if err != nil {
		return nil, err
	}
	a.server, err = listen.New(a.address, nil, listen.Options{MaxBody: maxBodyBytes, Routes: func(h *server.Hertz) {
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

// Address returns the address of the listener, once it has started.
func (a *Admin) Address() string {
	return a.server.Address()
}

func (a *Admin) collectRoutes(k *kernel.Kernel) ([]Route, error) {
	log, err := kernel.Find[*trace.Log](k, trace.Name)
	if err != nil {
		return nil, err
	}
	metrics, err := kernel.Find[*meter.Meter](k, meter.Name)
	if err != nil {
		return nil, err
	}
	metrics.RegisterGauge("decisions_dropped", func() float64 { return float64(log.Dropped()) })
	metrics.RegisterGauge("log_lines_dropped", func() float64 { return float64(log.LinesDropped()) })
	routes := []Route{
		{Method: "GET", Path: "/metrics", Handle: showMetrics(metrics)},
		{Method: "GET", Path: "/explain/:id", Handle: func(_ context.Context, ctx *app.RequestContext) {
			ctx.JSON(statusOK, Explanation{Decisions: log.Explain(ctx.Param("id")), Dropped: log.Dropped()})
		}},
	}
	for _, name := range a.providers {
		provider, err := kernel.Find[RouteProvider](k, name)
		if err != nil {
			return nil, errors.Wrap(err, "collect routes")
		}
		routes = append(routes, provider.Routes()...)
	}

	return routes, nil
}

func showMetrics(metrics *meter.Meter) app.HandlerFunc {
	return func(_ context.Context, ctx *app.RequestContext) {
		ctx.SetContentType("text/plain; version=0.0.4")
		if err := metrics.WriteText(ctx); err != nil {
			ctx.AbortWithMsg(err.Error(), statusInternalServerError)
		}
	}
}

const (
	statusOK                  = 200
	statusInternalServerError = 500
)

// Explanation lists the decisions of one node about an operation, which is one call to a service, or about a root request, the
// request of a client that caused it.
type Explanation struct {
	Decisions []trace.Decision `json:"decisions"`
	// Dropped is the number of decisions that were not written to the log file since the node started.
	Dropped uint64 `json:"dropped"`
}
