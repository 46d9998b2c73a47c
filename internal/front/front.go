package front

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/uber-go/tally/v4"

	"github.com/pistachiotack/pistachiotack/internal/budget"
	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/listen"
	"github.com/pistachiotack/pistachiotack/internal/meter"
	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/fanout"
	"github.com/pistachiotack/pistachiotack/pkg/leave"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/quota"
	"github.com/pistachiotack/pistachiotack/pkg/reply"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

// Name is the name of the kernel service.
const Name = "front"

const (
	// maxBody is the largest request body in bytes; the limit that operators set is enforced before the request gets here.
	maxBody = 128 << 20
	// maxResponse is the largest response in bytes that is buffered.
	maxResponse = 48 << 20
	// maxBuffered bounds the bodies in bytes of all responses that are buffered at a time, so that a faulty server can't take the
	// memory of the VM.
	maxBuffered = maxResponse
	// maxUnread bounds the responses in bytes that clients have not read yet.
	maxUnread = 64 << 20
	// peerIdleTimeout is the time after which an idle connection to another node is not reused.
	peerIdleTimeout = 2 * time.Second
	// peerDialTimeout limits the time to connect to another node.
	peerDialTimeout = 300 * time.Millisecond
	// clientIdleTimeout is the idle time after which a client must not reuse its connection, sent in the Keep-Alive header. The node
	// closes the connection only closeMargin later, so that it doesn't close it while a request is on its way. Lower limits of the
	// operators apply to both; maxIdleShare of theirs is named to the client.
	clientIdleTimeout = 4 * time.Second
	closeMargin       = 2 * time.Second
	maxIdleShare      = 0.8
)

// Rules provides the routes in force.
type Rules interface {
	// Table returns nil until the routes have been loaded.
	Table() *routes.Table
	// NotifyVersion notes that the node with the control address has the version of the routes.
	NotifyVersion(version uint64, control string)
}

// Members lists the known nodes of the fleet.
type Members interface {
	Members(service string) []member.Entry
	All() []member.Entry
}

// Demand estimates the load that call trees put on services; a call tree is a request with all calls that are made for it.
type Demand interface {
	// CountRequest counts a request that began on this VM, and returns the origin of the requests on its route.
	CountRequest(route, service string) fanout.Origin
	// HandleReport updates the estimates from the report on an attempt.
	HandleReport(now time.Time, hop wire.Hop, report wire.Report)
	// ObserveCall counts a call to a service, and whether it ended before its deadline.
	ObserveCall(now time.Time, service string, finished bool)
	// ObserveFailure records that a call of the local backend server failed.
	ObserveFailure(now time.Time, route, service string)
	// Decide reports whether the services that the request's call tree needs have capacity for it.
	Decide(now time.Time, route, service string, request shed.Request) shed.Decision
	// EstimatedLevel returns this node's estimate of the admission level of a service (the share of its demand that is admitted), negative if
	// it has none.
	EstimatedLevel(now time.Time, service string) float64
	// CallsPerAttempt returns the number of calls to each service that one more attempt on the route causes.
	CallsPerAttempt(route, service string) map[string]float64
}

// Runner runs calls on the local backend server.
type Runner interface {
	Run(c context.Context, hop wire.Hop, in *protocol.Request, response *relay.Response) wire.Report
}

// Tracer writes decisions to the decision log.
type Tracer interface {
	Record(decision trace.Decision)
}

// Dialect reads the headers that the platform defines for requests of clients.
type Dialect interface {
	RequestID(header *protocol.RequestHeader) string
	// Remaining returns how long the client waits for the response, false if the header is missing or invalid.
	Remaining(header *protocol.RequestHeader) (time.Duration, bool)
	reply.Dialect
}

// Options configure the service.
type Options struct {
	// Listen is the listen address for clients on this VM and for the local backend server.
	Listen     string
	Node       string
	DataCentre string
	// Service is the service of the local backend server.
	Service string
	// Quota limits the retries of the whole fleet.
	Quota   quota.Limits
	Dialect Dialect
	Log     *slog.Logger
	Seed    uint64
}

// Front is the kernel service; it is safe for concurrent use.
type Front struct {
	options         Options
	rules           Rules
	members         Members
	demand          Demand
	runner          Runner
	tracer          Tracer
	responseLatency *meter.Vec[tally.Histogram]
	refused         *meter.Vec[tally.Counter]
	client          *relay.Client
	buffers         *budget.Budget
	close           func()
	server          *listen.Server
	picker          *picker
	splitter        *routes.Splitter
	refusing        atomic.Bool
	end             atomic.Pointer[leave.End]

	mu        sync.Mutex
	quota     *quota.Quota
	startedAt time.Time
	latencies *meanLatencies
	unread    *shed.Unread
}

// New returns a service that has not been started.
func New(options Options) *Front {
	client, closeClient := relay.NewClient(peerIdleTimeout)

	f := &Front{
		options:   options,
		client:    client,
		buffers:   budget.New(maxBuffered),
		close:     closeClient,
		picker:    newPicker(options.Node, options.DataCentre, options.Seed),
		splitter:  routes.NewSplitter(),
		quota:     quota.New(options.Quota),
		startedAt: time.Now(),
		latencies: newMeanLatencies(),
		unread:    shed.NewUnread(maxUnread),
	}
	f.RefuseLate(leave.End{})

	return f
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
	f.server, err = listen.New(f.options.Listen, f.handle, listen.Options{
		MaxBody:    maxBody,
		Idle:       clientIdleTimeout + closeMargin,
		Repeatable: f.repeatable,
		Limits:     f.limits,
	})
	if err != nil {
		return nil, err
	}

	return f.server.Done(), nil
}

// limits returns the operators' limits of what clients may send, as of the routes in force.
func (f *Front) limits() routes.Limits {
	table := f.rules.Table()
	if table == nil {
		return routes.Limits{}
	}

	return table.Limits()
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
		f.responseLatency = meter.NewLatencies(scope, "answered", "route")
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

// DisableKeepAlives asks clients to close their connections after the next response.
func (f *Front) DisableKeepAlives() {
	f.server.DisableKeepAlives()
}

// RefuseNewRequests refuses all further requests; those that have begun continue.
func (f *Front) RefuseNewRequests() {
	f.refusing.Store(true)
}

// RefuseLate refuses requests that the end of the node excludes.
func (f *Front) RefuseLate(end leave.End) {
	f.end.Store(&end)
}

// GiveUp ends the attempts of all requests, which get their final responses at once.
func (f *Front) GiveUp() {
	f.server.GiveUp()
}

// Active returns the number of requests that are being read or whose responses have not been sent as a whole.
func (f *Front) Active() int64 {
	return f.server.ActiveRequests()
}
