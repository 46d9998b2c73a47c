package meter

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
)

// Name is the name of the service.
const Name = "meter"

const reportInterval = time.Second

// Meter is the kernel service that holds the root scope of the metrics.
type Meter struct {
	scope    tally.Scope
	closer   func() error
	reporter *reporter
	done     chan error

	mu      sync.Mutex
	watched map[string]func() float64
}

// New returns a meter whose metrics carry the tags, such as the node's name and data centre.
func New(tags map[string]string) *Meter {
	reporter := newReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:    "pistachiotack",
		Tags:      tags,
		Reporter:  reporter,
		Separator: "_",

		OmitCardinalityMetrics: true,
	}, reportInterval)

	return &Meter{scope: scope, closer: closer.Close, reporter: reporter, done: make(chan error, 1), watched: map[string]func() float64{}}
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

// RegisterGauge shows a value as a gauge, read each time that the metrics are asked for.
func (m *Meter) RegisterGauge(name string, value func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watched[name] = value
}

// WriteText writes all metrics in Prometheus' text format; counters are at most a second old.
func (m *Meter) WriteText(w io.Writer) error {
	m.mu.Lock()
	for name, value := range m.watched {
		m.reporter.ReportGauge("pistachiotack_"+name, nil, value())
	}
	m.mu.Unlock()

	return m.reporter.WriteText(w)
}
