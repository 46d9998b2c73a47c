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

// Name is the name of the service.
const Name = "exec"

// maxBody is the largest request body in bytes that a peer may send.
const maxBody = 1 << 20

// Settings gives the settings tree in force.
type Settings interface {
	Snapshot() *tree.Snapshot
}

// Tracer takes decisions for the log.
type Tracer interface {
	Decide(decision trace.Decision)
}

// Recorder keeps the answers of once operations for the time after this process.
type Recorder interface {
	Record(op call.ID, answer Answer)
}

// Registrar serves questions of other nodes.
type Registrar interface {
	Register(name string, receiver any) error
}

// Options are the fixed properties of the executing node.
type Options struct {
	Listen      string
	DataCentre  string
	Service     string
	Incarnation uint64
	Backend     string
	Admitter    Admitter
}

// Exec is the kernel service that runs calls on the backend server.
type Exec struct {
	options  Options
	settings Settings
	tracer   Tracer
	metrics  tally.Scope
	client   *relay.Client
	close    func()
	server   *listen.Server

	state     atomic.Value
	leaving   atomic.Pointer[func()]
	active    atomic.Int64
	mu        sync.RWMutex
	running   map[call.ID]*scope.Scope
	callTable *callTable
	detector  *stall.Detector
	records   Recorder
	goodput   meter.Goodput
}

// New returns an executing node that still has to be started.
func New(options Options) *Exec {
	client, closeClient := relay.NewClient(relay.BackendIdle)
	e := &Exec{options: options, client: client, close: closeClient, running: map[call.ID]*scope.Scope{}, callTable: newCallTable(options.Incarnation), detector: stall.New()}
	e.state.Store(member.StateServing)

	return e
}

// Goodput returns the counts of important requests, by which trials of settings are judged.
func (e *Exec) Goodput() trial.Count {
	return e.goodput.Count()
}

// String returns the name of the service.
func (e *Exec) String() string {
	return Name
}

// Start opens the listener for peers.
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
	if e.records, err = kernel.Find[Recorder](k, "claim"); err != nil {
		return nil, err
	}
	if err = control.Register(controlName, &Control{exec: e}); err != nil {
		return nil, err
	}
	if e.server, err = listen.New(e.options.Listen, e.handle, listen.Options{MaxBody: maxBody}); err != nil {
		return nil, err
	}

	return e.server.Done(), nil
}

// Stop closes the listener and the connections to the backend server.
func (e *Exec) Stop(ctx context.Context) error {
	defer e.close()

	return e.server.Close(ctx)
}

// Address returns the address for peers.
func (e *Exec) Address() string {
	return e.server.Address()
}

// SetState changes what peers are told; a draining node refuses new calls at once.
func (e *Exec) SetState(state member.State) {
	e.state.Store(state)
}

// SetLeaving names whom to tell when the backend server says on an answer that it is leaving.
func (e *Exec) SetLeaving(leaving func()) {
	e.leaving.Store(&leaving)
}

// State returns what peers are told.
func (e *Exec) State() member.State {
	state, _ := e.state.Load().(member.State)

	return state
}

// Parent returns what the outgoing calls of a running operation inherit.
func (e *Exec) Parent(op call.ID) (*scope.Scope, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	parent, found := e.running[op]

	return parent, found
}

// Drain refuses new calls and returns when none runs, listen.ErrDrainDeadline if the context ends before.
func (e *Exec) Drain(ctx context.Context) error {
	e.SetState(member.StateDraining)
	e.server.DisableKeepAlives()

	return e.server.Drain(ctx, e.active.Load)
}

func (e *Exec) enter(op call.ID, running *scope.Scope) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[op] = running
}

// began counts a call that the backend server begins to run.
func (e *Exec) began() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.detector.Start(time.Now())
}

// ended counts a call that the backend server has answered, or has not.
func (e *Exec) ended(answered bool, kind string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !answered {
		e.detector.FinishWithoutResponse()

		return
	}
	e.detector.Finish(time.Now(), kind, took)
}

// stalled reports whether the backend server has stopped answering.
func (e *Exec) stalled(kind string) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()

	return e.detector.Stalled(time.Now(), kind)
}

// leave ends the operation and returns the attempts that it leaves unspent.
func (e *Exec) leave(op call.ID, running *scope.Scope) credit.Grant {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, op)

	return running.Ledger.Close()
}
