package front

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/uber-go/tally/v4"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/listen"
	"github.com/pistachiotack/pistachiotack/internal/meter"
	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/fanout"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/quota"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

// Name is the name of the service.
const Name = "front"

const (
	// maxBody is the largest request body in bytes; what operators allow is checked before the request comes here.
	maxBody = 128 << 20
	// maxAnswer is the largest answer in bytes that is buffered.
	maxAnswer = 64 << 20
	// peerIdle is the time after which an idle connection to another node is not used again.
	peerIdle = 2 * time.Second
	// peerDial bounds a new connection to another node.
	peerDial = 300 * time.Millisecond
	// clientIdle is how long a client may leave its connection unused, as each answer tells it; closeMargin is how much later the
	// node closes the connection, so that no request crosses the close.
	clientIdle  = 4 * time.Second
	closeMargin = 2 * time.Second
)

// Rules gives the routes in force.
type Rules interface {
	// Table returns nil while no routes are known.
	Table() *routes.Table
	Heard(version uint64, control string)
}

// Members gives the nodes of the fleet as far as they are known.
type Members interface {
	Members(service string) []member.Entry
	All() []member.Entry
}

// Demand knows which call trees have room.
type Demand interface {
	CountRequest(route, service string) fanout.Origin
	HandleReport(now time.Time, hop wire.Hop, report wire.Report)
	ObserveFailure(now time.Time)
	Decide(now time.Time, route, service string, demand shed.Request) shed.Decision
	EstimatedLevel(now time.Time, service string) float64
	CallsPerAttempt(route, service string) map[string]float64
}

// Runner runs calls on the backend server of this VM.
type Runner interface {
	Run(c context.Context, hop wire.Hop, in *protocol.Request, answer *relay.Response) wire.Report
}

// Tracer takes decisions for the log.
type Tracer interface {
	Decide(decision trace.Decision)
}

// Dialect is what clients speak.
type Dialect interface {
	RequestID(header *protocol.RequestHeader) string
	// Remaining returns how long the client waits, false if it states nothing that can be read.
	Remaining(header *protocol.RequestHeader) (time.Duration, bool)
}

// Options are the fixed properties of the service.
type Options struct {
	// Listen is the address for the clients on this VM and for its backend server.
	Listen     string
	Node       string
	DataCentre string
	// Service is the one of the backend server on this VM.
	Service string
	// Quota is the fleet's allowance of repeated requests.
	Quota   quota.Limits
	Dialect Dialect
	Log     *slog.Logger
	Seed    uint64
}

// Front is the kernel service.
type Front struct {
	options  Options
	rules    Rules
	members  Members
	demand   Demand
	runner   Runner
	tracer   Tracer
	answered *meter.Series[tally.Histogram]
	refused  *meter.Series[tally.Counter]
	client   *relay.Client
	close    func()
	server   *listen.Server
	placer   *placer
	splitter *routes.Splitter
	active   atomic.Int64
	refusing atomic.Bool

	mu    sync.Mutex
	quota *quota.Quota
	began time.Time
	usual *usual
}

// New returns a service that still has to be started.
func New(options Options) *Front {
	client, closeClient := relay.NewClient(peerIdle)

	return &Front{
		options:  options,
		client:   client,
		close:    closeClient,
		placer:   newPlacer(options.Node, options.DataCentre, options.Seed),
		splitter: routes.NewSplitter(),
		quota:    quota.New(options.Quota),
		began:    time.Now(),
		usual:    newUsual(),
	}
}

// String returns the name of the service.
func (*Front) String() string {
	return Name
}

// Start opens the listener.
func (f *Front) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	if err := f.find(k); err != nil {
		return nil, err
	}
	var err error
	f.server, err = listen.New(f.options.Listen, f.handle, listen.Options{MaxBody: maxBody, Idle: clientIdle + closeMargin})
	if err != nil {
		return nil, err
	}

	return f.server.Done(), nil
}

func (f *Front) find(k *kernel.Kernel) error {
	var metrics *meter.Meter
	err := kernel.FindAll(k,
		kernel.Into("holder", &f.rules),
		kernel.Into("gossip", &f.members),
		kernel.Into("demand", &f.demand),
		kernel.Into("guard", &f.runner),
		kernel.Into(trace.Name, &f.tracer),
		kernel.Into(meter.Name, &metrics),
	)
	if err == nil {
		scope := metrics.Scope().SubScope(Name)
		f.answered = meter.NewLatencies(scope, "answered", "route")
		f.refused = meter.NewCounters(scope, "refused", "reason")
	}

	return err
}

// Stop closes the listener and the connections to other nodes.
func (f *Front) Stop(ctx context.Context) error {
	defer f.close()

	return f.server.Close(ctx)
}

// Address returns the address for clients.
func (f *Front) Address() string {
	return f.server.Address()
}

// Leave asks clients to close their connections after their next answer.
func (f *Front) Leave() {
	f.server.Leave()
}

// Refuse turns away all requests from now on; those that have begun go on.
func (f *Front) Refuse() {
	f.refusing.Store(true)
}

// Active returns the number of requests without an answer.
func (f *Front) Active() int64 {
	return f.active.Load()
}
