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
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// Name is the name under which the kernel knows the service.
const Name = "holder"

// Defaults and fixed times.
const (
	defaultPoll     = 5 * time.Second
	defaultExchange = 2 * time.Second
	defaultLease    = 3 * time.Second
	lapseEvery      = 200 * time.Millisecond
	firstSync       = 100 * time.Millisecond
	callTimeout     = time.Second
	fanOut          = 4
)

// Table is the part of the platform's table service that settings need.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	GetChanged(ctx context.Context, key, etag string) (store.Row, bool, error)
	Put(ctx context.Context, key string, value []byte, etag string) (string, error)
	Insert(ctx context.Context, key string, value []byte) (string, error)
	List(ctx context.Context, prefix, after string) ([]store.Row, error)
	// Configured reports whether there is a table at all.
	Configured() bool
}

// Control calls the holders of other nodes.
type Control interface {
	Register(name string, receiver any) error
	Call(ctx context.Context, address, method string, args, reply any) error
	Address() string
}

// Fleet knows the nodes.
type Fleet interface {
	All() []member.Entry
}

// GoodputSource counts the important requests of one service of this node.
type GoodputSource interface {
	Goodput() trial.Count
}

// Tracer takes decisions for the log.
type Tracer interface {
	Decide(decision trace.Decision)
}

// Options configure the service; zero values mean the defaults.
type Options struct {
	// Node is the name of this node.
	Node string
	// PollInterval and Exchange are the mean times between looks at the table's head and at a peer.
	PollInterval     time.Duration
	ExchangeInterval time.Duration
	// Lease is how long a proposal acts on a node without word from its coordinator.
	Lease time.Duration
	// Initial serves until a revision is accepted, nil for the defaults.
	Initial *tree.Snapshot
	Log     *slog.Logger
}

func (o Options) withDefaults() Options {
	if o.PollInterval <= 0 {
		o.PollInterval = defaultPoll
	}
	if o.ExchangeInterval <= 0 {
		o.ExchangeInterval = defaultExchange
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

// Holder is the service `holder`.
type Holder struct {
	options Options
	rows    *rowStore
	control Control
	fleet   Fleet
	tracer  Tracer
	gauges  gauges

	active atomic.Pointer[tree.Snapshot]

	mu      sync.Mutex
	current NodeState
	health  health

	// proposing is held by the one proposal that this node coordinates.
	proposing chan struct{}
	spread    chan struct{}
	cancel    context.CancelFunc
	loops     *errgroup.Group
	done      chan error
}

// gauges count at the two places where requests pass a node, nil where there is none.
type gauges struct {
	entry, exec GoodputSource
}

// New returns a holder without a tree, at revision zero.
func New(options Options) *Holder {
	options = options.withDefaults()
	h := &Holder{
		options:   options,
		current:   NewNodeState(options.Initial),
		proposing: make(chan struct{}, 1),
		spread:    make(chan struct{}, 1),
		done:      make(chan error, 1),
	}
	h.active.Store(h.current.Snapshot())

	return h
}

// String returns the name of the service.
func (h *Holder) String() string {
	return Name
}

// Start registers with the control channel and begins to follow the table and the peers; services `control` and `gossip` must be
// there, `store`, `trace`, `entry` and `exec` may be.
func (h *Holder) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	if err := h.find(k); err != nil {
		return nil, err
	}
	if err := h.control.Register(receiverName, &Receiver{holder: h}); err != nil {
		return nil, err
	}
	ctx, h.cancel = context.WithCancel(ctx)
	h.loops, ctx = errgroup.WithContext(ctx)
	h.loops.Go(func() error { return every(ctx, h.options.PollInterval, h.poll) })
	h.loops.Go(func() error { return every(ctx, h.options.ExchangeInterval, h.exchange) })
	h.loops.Go(func() error { return every(ctx, lapseEvery, h.lapse) })
	h.loops.Go(func() error { return h.spreadLoop(ctx) })
	go func() { h.done <- h.loops.Wait() }()

	return h.done, nil
}

func (h *Holder) find(k *kernel.Kernel) error {
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
	if gauge, err := kernel.Find[GoodputSource](k, "entry"); err == nil {
		h.gauges.entry = gauge
	}
	if gauge, err := kernel.Find[GoodputSource](k, "exec"); err == nil {
		h.gauges.exec = gauge
	}

	return nil
}

// Stop ends the loops.
func (h *Holder) Stop(context.Context) error {
	h.cancel()

	return nil
}

// every runs the step at once and then at jittered intervals, sooner while the first ones have not succeeded.
func every(ctx context.Context, interval time.Duration, step func(context.Context) bool) error {
	wait := time.Duration(rand.Int64N(int64(min(firstSync, interval))))
	synced := false
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()

			return nil
		case <-timer.C:
		}
		synced = step(ctx) || synced
		wait = interval/2 + time.Duration(rand.Int64N(int64(interval)))
		if !synced {
			wait = min(wait, firstSync)
		}
	}
}

// Snapshot returns the settings that act on this node now, whole and immutable.
func (h *Holder) Snapshot() *tree.Snapshot {
	return h.active.Load()
}

// Revision returns the number of the revision in force.
func (h *Holder) Revision() uint64 {
	return h.Snapshot().Revision()
}

// Record returns the accepted revision that this node holds.
func (h *Holder) Record() Record {
	return h.NodeState().Record()
}

// NodeState returns what this node holds.
func (h *Holder) NodeState() NodeState {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.current
}

// change swaps what the node holds, whole.
func (h *Holder) change(step func(NodeState) (NodeState, error)) error {
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

// Adopt takes a newer record over and passes it on; older ones and forks are said loudly and left alone.
func (h *Holder) Adopt(ctx context.Context, record Record, from string) AdoptResult {
	var became AdoptResult
	err := h.change(func(c NodeState) (NodeState, error) {
		next, change, err := c.Adopt(record)
		became = change

		return next, err
	})
	switch {
	case err != nil:
		h.note(ctx, slog.LevelError, "unreadable", record, from+": "+err.Error())
	case became == RecordAdopted:
		h.note(ctx, slog.LevelInfo, "adopted", record, from)
		select {
		case h.spread <- struct{}{}:
		default:
		}
	case became == RecordFork:
		h.note(ctx, slog.LevelError, "fork", record, from)
	}

	return became
}

// note logs a settings decision and puts it into the decision log.
func (h *Holder) note(ctx context.Context, level slog.Level, reason call.Reason, record Record, detail string) {
	h.options.Log.LogAttrs(ctx, level, "settings revision",
		slog.String("node", h.options.Node),
		slog.String("reason", string(reason)),
		slog.Uint64("revision", record.Revision),
		slog.String("edit", record.Edit),
		slog.String("author", record.Author),
		slog.String("detail", detail),
	)
	if h.tracer != nil {
		h.tracer.Decide(trace.Decision{
			Time: time.Now(), Step: trace.StepSettings, Chosen: record.Edit, Reason: reason, Detail: detail, Revision: record.Revision,
		})
	}
}

func (h *Holder) lapse(ctx context.Context) bool {
	if h.NodeState().Trial() == "" {
		return true
	}
	lapsed := false
	edit := ""
	_ = h.change(func(c NodeState) (NodeState, error) {
		edit = c.Trial()
		c, lapsed = c.ExpireLease(time.Now())

		return c, nil
	})
	if lapsed {
		h.note(ctx, slog.LevelWarn, trial.ReasonCoordinatorVanished, Record{Ancestor: Ancestor{Edit: edit}}, "trial lapsed without word from its coordinator")
	}

	return true
}
