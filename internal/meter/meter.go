package meter

import (
	"context"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
)

// Name is the name of the service.
const Name = "meter"

const reportInterval = time.Second

// Meter is the kernel service that holds the root scope of the metrics.
type Meter struct {
	scope    tally.Scope
	closer   func() error
	reporter prometheus.Reporter
	done     chan error
}

// New returns a meter whose metrics carry the node's name, data centre and service.
func New(tags map[string]string) *Meter {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "pistachiotack",
		Tags:           tags,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,

		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)

	return &Meter{scope: scope, closer: closer.Close, reporter: reporter, done: make(chan error, 1)}
}

// String returns the name of the service.
func (m *Meter) String() string {
	return Name
}

// Start has nothing to start, the scope reports by itself.
func (m *Meter) Start(_ context.Context, _ *kernel.Kernel) (<-chan error, error) {
	return m.done, nil
}

// Stop reports for the last time.
func (m *Meter) Stop(_ context.Context) error {
	err := m.closer()
	m.done <- err

	return err
}

// Scope returns the root scope.
func (m *Meter) Scope() tally.Scope {
	return m.scope
}

// Handler serves the metrics over HTTP.
func (m *Meter) Handler() http.Handler {
	return m.reporter.HTTPHandler()
}
