package holder

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/panics"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// Name is the name under which the service is registered with the kernel.
const Name = "holder"

const (
	defaultPollInterval     = 5 * time.Second
	defaultExchangeInterval = 2 * time.Second
	defaultLease            = 3 * time.Second
	// leaseCheckInterval is the mean interval between checks for an expired lease.
	leaseCheckInterval = 200 * time.Millisecond
	// initialRetryInterval bounds the wait of a periodic task until it has succeeded once.
	initialRetryInterval = 100 * time.Millisecond
	// callTimeout bounds a trial call to another node, or an exchange with it as a whole.
	callTimeout = time.Second
	// propagationFanOut is the number of nodes that a newly adopted revision is passed on to.
	propagationFanOut = 4
)

// Table is the part of the platform's table service that the holder uses; its methods return the errors of package store.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	GetChanged(ctx context.Context, key, etag string) (store.Row, bool, error)
	Put(ctx context.Context, key string, value []byte, etag string) (string, error)
	Insert(ctx context.Context, key string, value []byte) (string, error)
	List(ctx context.Context, prefix, after string) ([]store.Row, error)
	// Configured reports whether the settings of the node name a table service.
	Configured() bool
}

// Control is the net/rpc channel between the nodes.
type Control interface {
	Register(name string, receiver any) error
	// Call calls a method of the node at the address.
	Call(ctx context.Context, address, method string, args, reply any) error
	// Address returns the address at which this node is called.
	Address() string
}

// Fleet lists the nodes known to this one.
type Fleet interface {
	All() []member.Entry
}

// GoodputSource counts the important requests (classes high and vital) that one service of this node handles, and how many of
// them are answered completely and in time.
type GoodputSource interface {
	Goodput() trial.Count
}

// Tracer records decisions in the decision log.
type Tracer interface {
	Record(decision trace.Decision)
}

// Options configure the service; zero values stand for the defaults.
type Options struct {
	// Node is the name of this node.
	Node string
	// PollInterval is the mean interval between reads of the table's head row, ExchangeInterval that between exchanges with
	// other nodes.
	PollInterval     time.Duration
	ExchangeInterval time.Duration
	// Lease is the time for which a node keeps a proposal on trial unless the coordinator renews it.
	Lease time.Duration
	// Initial is used until a revision is accepted, nil for an empty tree.
	Initial *tree.Snapshot
	Log     *slog.Logger
}

func (o Options) withDefaults() Options {
	if o.PollInterval <= 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.ExchangeInterval <= 0 {
		o.ExchangeInterval = defaultExchangeInterval
	}
	if o.Lease <= 0 {
		o.Lease = defaultLease
	}
	if o.Initial == nil {
		o.Initial = tree.EmptySnapshot()
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}

	return o
}

// Holder is the service `holder`; it is safe for concurrent use.
type Holder struct {
	options Options
	rows    *rowStore
	control Control
	fleet   Fleet
	tracer  Tracer
	goodput goodputSources

	// active is the snapshot in use, for reading without the lock.
	active atomic.Pointer[tree.Snapshot]

	// mu guards current and tableView.
	mu        sync.Mutex
	current   NodeState
	tableView tableView

	// proposing is a semaphore that limits the node to coordinating one proposal at a time.
	proposing chan struct{}
	// propagate wakes propagateLoop.
	propagate chan struct{}
	cancel    context.CancelFunc
	loops     *errgroup.Group
	done      chan error
}

// goodputSources are the services that count goodput in the node's roles as entry node and as executing node, nil if not
// running.
type goodputSources struct {
	entry, exec GoodputSource
}

// New returns a holder at revision 0, which uses the initial tree.
func New(options Options) *Holder {
	options = options.withDefaults()
	h := &Holder{
		options:   options,
		current:   NewNodeState(options.Initial),
		proposing: make(chan struct{}, 1),
		propagate: make(chan struct{}, 1),
		done:      make(chan error, 1),
	}
	h.active.Store(h.current.Snapshot())

	return h
}

// String returns the name of the service.
func (h *Holder) String() string {
	return Name
}

// Start registers the net/rpc methods and starts polling the table and exchanging revisions. The services `control` and `gossip`
// are required, `store`, `trace`, `entry` and `exec` are optional.
func (h *Holder) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	if err := h.findServices(k); err != nil {
		return nil, err
	}
	if err := h.control.Register(receiverName, &Receiver{holder: h}); err != nil {
		return nil, err
	}
	ctx, h.cancel = context.WithCancel(ctx)
	h.loops, ctx = errgroup.WithContext(ctx)
	h.runPeriodically(ctx, "settings from the table", h.options.PollInterval, h.pollTable)
	h.runPeriodically(ctx, "settings from other nodes", h.options.ExchangeInterval, h.exchangeWithRandomNode)
	h.runPeriodically(ctx, "lease of a trial", leaseCheckInterval, h.expireLease)
	h.loops.Go(func() error { return panics.Keep(ctx, h.options.Log, "settings to other nodes", h.propagateLoop) })
	go func() { h.done <- h.loops.Wait() }()

	return h.done, nil
}

// findServices looks up the services that the holder uses.
func (h *Holder) findServices(k *kernel.Kernel) error {
	var err error
	if h.control, err = kernel.Find[Control](k, "control"); err != nil {
		return err
	}
	if h.fleet, err = kernel.Find[Fleet](k, "gossip"); err != nil {
		return err
	}
	if table, err := kernel.Find[Table](k, store.Name); err == nil && table.Configured() {
		h.rows = &rowStore{table: table}
	}
	if tracer, err := kernel.Find[Tracer](k, trace.Name); err == nil {
		h.tracer = tracer
	}
	if source, err := kernel.Find[GoodputSource](k, "entry"); err == nil {
		h.goodput.entry = source
	}
	if source, err := kernel.Find[GoodputSource](k, "exec"); err == nil {
		h.goodput.exec = source
	}

	return nil
}

// Stop ends the background tasks.
func (h *Holder) Stop(context.Context) error {
	h.cancel()

	return nil
}

// runPeriodically runs the step in the background at jittered intervals until the context ends.
func (h *Holder) runPeriodically(ctx context.Context, name string, interval time.Duration, step func(context.Context) bool) {
	h.loops.Go(func() error {
		return panics.Keep(ctx, h.options.Log, name, func(ctx context.Context) error { return repeat(ctx, interval, step) })
	})
}

// repeat runs the step at random intervals between half and one and a half times the interval, until the context ends.
// It waits at most initialRetryInterval until the step has succeeded once.
func repeat(ctx context.Context, interval time.Duration, step func(context.Context) bool) error {
	wait := time.Duration(rand.Int64N(int64(min(initialRetryInterval, interval))))
	succeeded := false
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()

			return nil
		case <-timer.C:
		}
		succeeded = step(ctx) || succeeded
		wait = interval/2 + time.Duration(rand.Int64N(int64(interval)))
		if !succeeded {
			wait = min(wait, initialRetryInterval)
		}
	}
}

// Snapshot returns the settings that this node uses at present, those of a proposal on trial included.
func (h *Holder) Snapshot() *tree.Snapshot {
	return h.active.Load()
}

// Revision returns the number of the accepted revision.
func (h *Holder) Revision() uint64 {
	return h.Snapshot().Revision()
}

// Record returns the accepted revision.
func (h *Holder) Record() Record {
	return h.NodeState().Record()
}

// NodeState returns the accepted revision and the proposal on trial.
func (h *Holder) NodeState() NodeState {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.current
}

// updateState replaces the state atomically by the result of the step, unless that fails.
func (h *Holder) updateState(step func(NodeState) (NodeState, error)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := step(h.current)
	if err != nil {
		return err
	}
	h.current = next
	if snapshot := next.Snapshot(); snapshot != h.active.Load() {
		h.active.Store(snapshot)
	}

	return nil
}

// Adopt replaces the accepted revision by a newer record and passes it on to other nodes. An older record is ignored; a fork or
// an invalid tree is logged as an error. The source of the record, from, is logged.
func (h *Holder) Adopt(ctx context.Context, record Record, from string) AdoptResult {
	var result AdoptResult
	err := h.updateState(func(s NodeState) (NodeState, error) {
		next, adopted, err := s.Adopt(record)
		result = adopted

		return next, err
	})
	switch {
	case err != nil:
		h.logDecision(ctx, slog.LevelError, "unreadable", record, from+": "+err.Error())
	case result == RecordAdopted:
		h.logDecision(ctx, slog.LevelInfo, "adopted", record, from)
		select {
		case h.propagate <- struct{}{}:
		default:
		}
	case result == RecordFork:
		h.logDecision(ctx, slog.LevelError, "fork", record, from)
	}

	return result
}

// logDecision writes a decision about the settings to the log and to the decision log.
func (h *Holder) logDecision(ctx context.Context, level slog.Level, reason call.Reason, record Record, detail string) {
	h.options.Log.LogAttrs(ctx, level, "settings revision",
		slog.String("node", h.options.Node),
		slog.String("reason", string(reason)),
		slog.Uint64("revision", record.Revision),
		slog.String("edit", record.Edit),
		slog.String("author", record.Author),
		slog.String("detail", detail),
	)
	if h.tracer != nil {
		h.tracer.Record(trace.Decision{
			Time: time.Now(), Step: trace.StepSettings, Chosen: record.Edit, Reason: reason, Detail: detail, Revision: record.Revision,
		})
	}
}

// expireLease ends a trial whose coordinator has not renewed the lease; it always reports success.
func (h *Holder) expireLease(ctx context.Context) bool {
	if h.NodeState().Trial() == "" {
		return true
	}
	expired := false
	editID := ""
	_ = h.updateState(func(s NodeState) (NodeState, error) {
		editID = s.Trial()
		s, expired = s.ExpireLease(time.Now())

		return s, nil
	})
	if expired {
		h.logDecision(ctx, slog.LevelWarn, trial.ReasonCoordinatorVanished, Record{Ancestor: Ancestor{Edit: editID}}, "lease of the trial expired: not renewed by its coordinator")
	}

	return true
}
