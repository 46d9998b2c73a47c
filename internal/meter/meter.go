package meter

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
)

// Name is the name of the kernel service.
const Name = "meter"

const reportInterval = time.Second

// Meter is the kernel service that owns the root scope of the metrics and their reporter.
type Meter struct {
	scope      tally.Scope
	closeScope func() error
	reporter   *reporter
	done       chan error

	mu     sync.Mutex
	gauges map[string]func() float64
}

// New returns a meter that adds the tags, such as the name and data centre of the node, to the metrics of its scope.
func New(tags map[string]string) *Meter {
	reporter := newReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:    "pistachiotack",
		Tags:      tags,
		Reporter:  reporter,
		Separator: "_",

		OmitCardinalityMetrics: true,
	}, reportInterval)

	return &Meter{scope: scope, closeScope: closer.Close, reporter: reporter, done: make(chan error, 1), gauges: map[string]func() float64{}}
}

// String returns Name.
func (m *Meter) String() string {
	return Name
}

// Start does nothing, because the scope already reports in the background.
func (m *Meter) Start(_ context.Context, _ *kernel.Kernel) (<-chan error, error) {
	return m.done, nil
}

// Stop closes the scope, which reports the metrics a last time.
func (m *Meter) Stop(_ context.Context) error {
	err := m.closeScope()
	m.done <- err

	return err
}

// Scope returns the root scope of the metrics.
func (m *Meter) Scope() tally.Scope {
	return m.scope
}

// RegisterGauge registers a gauge without tags, whose value WriteText reads each time. The name gets the prefix of the scope.
func (m *Meter) RegisterGauge(name string, value func() float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = value
}

// WriteText writes all metrics in the Prometheus text format. Values from the scope lag by up to one reporting interval of 1 s.
func (m *Meter) WriteText(w io.Writer) error {
	m.mu.Lock()
	for name, value := range m.gauges {
		m.reporter.ReportGauge("pistachiotack_"+name, nil, value())
	}
	m.mu.Unlock()

	return m.reporter.WriteText(w)
}
