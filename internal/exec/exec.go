package exec

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/trial"

	"github.com/uber-go/tally/v4"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/listen"
	"github.com/pistachiotack/pistachiotack/internal/meter"
	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/scope"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/credit"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/stall"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Name is the name of the kernel service.
const Name = "exec"

// maxRequestBytes is the maximum size of a request body from a peer.
const maxRequestBytes = 1 << 20

// Settings provides the current snapshot of the settings tree.
type Settings interface {
	Snapshot() *tree.Snapshot
}

// Tracer writes to the decision log.
type Tracer interface {
	Record(decision trace.Decision)
}

// Recorder stores the responses of once operations so that they outlive this process.
type Recorder interface {
	Record(op call.ID, response Response)
}

// Registrar registers net/rpc receivers on the control listener.
type Registrar interface {
	Register(name string, receiver any) error
}

// Options configure an Exec.
type Options struct {
	// Listen is the address for calls from peers.
	Listen      string
	DataCentre  string
	Service     string
	Incarnation uint64
	// Backend is the address of the local backend server.
	Backend  string
	Admitter Admitter
}

// Exec is the kernel service that runs calls on the local backend server.
type Exec struct {
	options     Options
	settings    Settings
	tracer      Tracer
	metrics     tally.Scope
	client      *relay.Client
	closeClient func()
	server      *listen.Server

	state      atomic.Value
	onDraining atomic.Pointer[func()]
	// active counts the calls from peers that are being handled.
	active atomic.Int64
	// mu guards scopes and detector.
	mu sync.RWMutex
	// scopes holds the scopes of the running operations.
	scopes    map[call.ID]*scope.Scope
	callTable *callTable
	detector  *stall.Detector
	recorder  Recorder
	goodput   meter.Goodput
}

// New returns an Exec that has not been started.
func New(options Options) *Exec {
	client, closeClient := relay.NewClient(relay.BackendIdleTimeout)
	e := &Exec{options: options, client: client, closeClient: closeClient, scopes: map[call.ID]*scope.Scope{}, callTable: newCallTable(options.Incarnation), detector: stall.New()}
	e.state.Store(member.StateServing)

	return e
}

// Goodput returns the counts of important requests, by which a trial of new settings is evaluated.
func (e *Exec) Goodput() trial.Count {
	return e.goodput.Count()
}

// String returns the name of the service.
func (e *Exec) String() string {
	return Name
}

// Start registers the control methods and opens the listener for peers.
func (e *Exec) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if e.settings, err = kernel.Find[Settings](k, "holder"); err != nil {
		return nil, err
	}
	if e.tracer, err = kernel.Find[Tracer](k, trace.Name); err != nil {
		return nil, err
	}
	metrics, err := kernel.Find[*meter.Meter](k, meter.Name)
	if err != nil {
		return nil, err
	}
	e.metrics = metrics.Scope().SubScope(Name)
	control, err := kernel.Find[Registrar](k, "control")
	if err != nil {
		return nil, err
	}
	if e.recorder, err = kernel.Find[Recorder](k, "claim"); err != nil {
		return nil, err
	}
	if err = control.Register(controlName, &Control{exec: e}); err != nil {
		return nil, err
	}
	if e.server, err = listen.New(e.options.Listen, e.handle, listen.Options{MaxBody: maxRequestBytes}); err != nil {
		return nil, err
	}

	return e.server.Done(), nil
}

// Stop closes the listener and the connections to the backend server.
func (e *Exec) Stop(ctx context.Context) error {
	defer e.closeClient()

	return e.server.Close(ctx)
}

// Address returns the address on which calls from peers are accepted.
func (e *Exec) Address() string {
	return e.server.Address()
}

// SetState sets the membership state that responses report. A node that is starting or draining refuses new calls.
func (e *Exec) SetState(state member.State) {
	e.state.Store(state)
}

// SetDrainHandler sets the function that is called when a response of the backend server says that it is draining.
func (e *Exec) SetDrainHandler(handler func()) {
	e.onDraining.Store(&handler)
}

// State returns the membership state that responses report.
func (e *Exec) State() member.State {
	state, _ := e.state.Load().(member.State)

	return state
}

// Parent returns the scope that nested calls of an operation inherit, false if the operation is not running.
func (e *Exec) Parent(op call.ID) (*scope.Scope, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	parent, found := e.scopes[op]

	return parent, found
}

// Drain refuses new calls and waits for the running ones. It returns listen.ErrDrainDeadline if the context ends first.
func (e *Exec) Drain(ctx context.Context) error {
	e.SetState(member.StateDraining)
	e.server.DisableKeepAlives()

	return e.server.Drain(ctx, e.active.Load)
}

// beginOperation makes the scope of an operation available to its nested calls.
func (e *Exec) beginOperation(op call.ID, opScope *scope.Scope) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scopes[op] = opScope
}

// recordStart tells the stall detector that a call begins to run on the backend server.
func (e *Exec) recordStart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detector.Start(time.Now())
}

// recordEnd tells the stall detector that a call has ended, with or without a response.
func (e *Exec) recordEnd(responded bool, kind string, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !responded {
		e.detector.FinishWithoutResponse()

		return
	}
	e.detector.Finish(time.Now(), kind, duration)
}

// stalled reports whether the backend server has stopped responding, judged by the usual duration of the kind.
func (e *Exec) stalled(kind string) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()

	return e.detector.Stalled(time.Now(), kind)
}

// endOperation removes the scope of an operation, closes its ledger and returns the unspent credits.
func (e *Exec) endOperation(op call.ID, opScope *scope.Scope) credit.Grant {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.scopes, op)

	return opScope.Ledger.Close()
}
