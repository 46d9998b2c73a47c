package entry

import (
	"context"
	"sync/atomic"

	"github.com/pistachiotack/pistachiotack/pkg/trial"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/pistachiotack/pistachiotack/internal/claim"
	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/listen"
	"github.com/pistachiotack/pistachiotack/internal/meter"
	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/scope"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Name is the name of the kernel service.
const Name = "entry"

// maxBody is the largest request body in bytes that a caller may send.
const maxBody = 1 << 20

// Settings returns the snapshot of the settings tree in force.
type Settings interface {
	Snapshot() *tree.Snapshot
}

// Members returns the nodes of a service from the local membership view.
type Members interface {
	Members(service string) []member.Entry
}

// Parents returns the scope that the outgoing calls of a running operation inherit, false if the operation isn't running.
type Parents interface {
	Parent(op call.ID) (*scope.Scope, bool)
}

// Tracer records decisions in the decision log.
type Tracer interface {
	Record(decision trace.Decision)
}

// Options configure an Entry.
type Options struct {
	// Callers is the listen address for callers, Backend the one for the outgoing calls of the local backend server.
	Callers    string
	Backend    string
	DataCentre string
	// OrphanCalls selects how outgoing calls without a parent are handled: config.OrphanRoot serves them as root requests,
	// config.OrphanRefuse refuses them.
	OrphanCalls string
	Chooser     Chooser
	Retrier     Retrier
}

// Entry is the kernel service that accepts calls and makes their attempts.
type Entry struct {
	options      Options
	settings     Settings
	members      Members
	parents      Parents
	tracer       Tracer
	metrics      tally.Scope
	client       *relay.Client
	needs        *needs
	control      ControlClient
	canceller    *canceller
	table        claim.Table
	incarnations *incarnations
	closeClient  func()
	callers      *listen.Server
	backend      *listen.Server
	active       atomic.Int64
	goodput      meter.Goodput
}

// New returns an Entry. Start opens its listeners.
func New(options Options) *Entry {
	client, closeClient := relay.NewClient(relay.PeerIdleTimeout)

	return &Entry{options: options, client: client, needs: newNeeds(), incarnations: newIncarnations(), closeClient: closeClient}
}

// Goodput returns the counts of important requests, offered and successful, which the guard of a settings trial compares.
func (e *Entry) Goodput() trial.Count {
	return e.goodput.Count()
}

// String returns Name.
func (e *Entry) String() string {
	return Name
}

// Start opens the listeners for callers and for outgoing calls of the local backend server.
func (e *Entry) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	if err := e.findServices(k); err != nil {
		return nil, err
	}
	var err error
	if e.callers, err = listen.New(e.options.Callers, e.handleCaller, listen.Options{MaxBody: maxBody, Repeatable: e.repeatable}); err != nil {
		return nil, err
	}
	if e.backend, err = listen.New(e.options.Backend, e.handleBackend, listen.Options{MaxBody: maxBody}); err != nil {
		return nil, err
	}

	return e.callers.Done(), nil
}

// Stop closes the listeners and the connections to other nodes.
func (e *Entry) Stop(ctx context.Context) error {
	defer e.closeClient()
	defer e.canceller.close()

	return errors.CombineErrors(e.callers.Close(ctx), e.backend.Close(ctx))
}

// CallersAddress returns the address for callers.
func (e *Entry) CallersAddress() string {
	return e.callers.Address()
}

// BackendAddress returns the address for outgoing calls of the local backend server.
func (e *Entry) BackendAddress() string {
	return e.backend.Address()
}

// Leave refuses new connections of callers, and asks callers to close open ones after their next response.
func (e *Entry) Leave() error {
	e.callers.DisableKeepAlives()

	return e.callers.StopAccepting()
}

// Drain waits until no call is open and the callers' connections are idle, and returns listen.ErrDrainDeadline if the context
// ends before.
func (e *Entry) Drain(ctx context.Context) error {
	return e.callers.Drain(ctx, e.active.Load)
}

func (e *Entry) findServices(k *kernel.Kernel) error {
	var metrics *meter.Meter
	err := kernel.FindAll(k,
		kernel.Into("holder", &e.settings),
		kernel.Into("gossip", &e.members),
		kernel.Into("exec", &e.parents),
		kernel.Into(trace.Name, &e.tracer),
		kernel.Into("control", &e.control),
		kernel.Into(store.Name, &e.table),
		kernel.Into(meter.Name, &metrics),
	)
	if err != nil {
		return err
	}
	e.canceller = newCanceller(e.control)
	e.metrics = metrics.Scope().SubScope(Name)

	return nil
}

func (e *Entry) allowsOrphans() bool {
	return e.options.OrphanCalls == config.OrphanRoot
}
