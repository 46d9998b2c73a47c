package resume

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/demand"
	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/beat"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
)

// Name is the name of the service.
const Name = "resume"

const (
	// prefix begins the keys of rows, one for each node.
	prefix = "backends/"
	// probeTimeout bounds the status check of the backend server, which is on the same VM and idle after a restart.
	probeTimeout = 500 * time.Millisecond
	// routesWait is how long a start waits for the routes, which name the path of status checks.
	routesWait = time.Second
	// routesInterval is the time between looks for the routes.
	routesInterval = 10 * time.Millisecond
	// retryPause is the time between writes of a changed backend server that failed; a busy table must not be asked faster by many nodes.
	retryPause = time.Second
	// demandInterval is the mean time between looks at what is known of call trees.
	demandInterval = 6 * time.Second
	// leaveWait is how long the answer to a leaving backend server is held back until its row is written.
	leaveWait = 400 * time.Millisecond
)

// Table keeps the rows.
type Table interface {
	Put(ctx context.Context, key string, value []byte, etag string) (string, error)
	List(ctx context.Context, prefix, after string) ([]store.Row, error)
}

// Guard knows the backend server.
type Guard interface {
	// Past returns what must be known of it after a restart.
	Past(now time.Time) (beat.Snapshot, bool)
	// Resume takes in what was known before the restart.
	Resume(now time.Time, past beat.Snapshot, alive bool) bool
	// Probe returns the ID of the process that says at the path that it is well.
	Probe(ctx context.Context, path string) (string, error)
}

// Demand knows the call trees.
type Demand interface {
	Snapshot(now time.Time) demand.Snapshot
	Restore(now time.Time, memory demand.Snapshot, at time.Time)
}

// Holder knows the routes in force.
type Holder interface {
	Table() *routes.Table
}

// Resume is the kernel service.
type Resume struct {
	node    string
	service string
	log     *slog.Logger
	table   Table
	guard   Guard
	holder  Holder
	demand  Demand
	changed chan struct{}
	cancel  context.CancelFunc

	mu    sync.Mutex
	saved state
	// written is closed at each write, and made anew.
	written chan struct{}
}

// New returns the service of the node beside a backend server of the service.
func New(node, service string, log *slog.Logger) *Resume {
	return &Resume{node: node, service: service, log: log, changed: make(chan struct{}, 1), written: make(chan struct{})}
}

// String returns the name of the service.
func (*Resume) String() string {
	return Name
}

// Start begins to bring back what the table knows, and to keep it up to date.
func (r *Resume) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	err := kernel.FindAll(k,
		kernel.Into(store.Name, &r.table),
		kernel.Into("guard", &r.guard),
		kernel.Into(demand.Name, &r.demand),
		kernel.Into("holder", &r.holder),
	)
	if err != nil {
		return nil, err
	}
	ctx, r.cancel = context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		r.restore(ctx)
		r.keep(ctx)
		done <- nil
	}()

	return done, nil
}

// Stop ends the service.
func (r *Resume) Stop(context.Context) error {
	r.cancel()

	return nil
}

// restore reads the row of the time before the restart.
func (r *Resume) restore(ctx context.Context) {
	kept, err := r.read(ctx)
	if err != nil {
		r.log.LogAttrs(ctx, slog.LevelWarn, "backend server not resumed", slog.String("error", err.Error()))

		return
	}
	past := kept.past
	if past.Heartbeat.ID == "" {
		return
	}
	r.note(kept)
	r.demand.Restore(time.Now(), kept.demand, kept.keptAt)
	alive, reason := false, "left"
	if !past.Left {
		alive, reason = r.alive(ctx, past.Heartbeat.ID)
	}
	resumed := r.guard.Resume(time.Now(), past, alive)
	r.log.LogAttrs(ctx, slog.LevelInfo, "backend server remembered", slog.String("process", past.Heartbeat.String()),
		slog.Time("at", past.AsOf), slog.Bool("resumed", resumed), slog.String("reason", reason))
}

// read returns the node's row, nothing if there is none.
func (r *Resume) read(ctx context.Context) (state, error) {
	rows, err := r.table.List(ctx, r.key(), "")
	if err != nil {
		return state{}, err
	}
	for _, found := range rows {
		if found.Key == r.key() {
			return decode(found.Value)
		}
	}

	return state{}, nil
}

func (r *Resume) key() string {
	return prefix + r.node
}

// alive reports whether the process still answers, and why not.
func (r *Resume) alive(ctx context.Context, id string) (bool, string) {
	path := r.path(ctx)
	if path == "" {
		return false, "no path for status checks"
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	found, err := r.guard.Probe(ctx, path)
	switch {
	case err != nil:
		return false, err.Error()
	case found != id:
		return false, "another process answers: " + found
	default:
		return true, "answers"
	}
}

// path waits for the routes and returns the path of status checks, empty if none is known in time.
func (r *Resume) path(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, routesWait)
	defer cancel()
	ticker := time.NewTicker(routesInterval)
	defer ticker.Stop()
	for {
		if table := r.holder.Table(); table != nil {
			return table.HealthPath(r.service)
		}
		select {
		case <-ctx.Done():
			return ""
		case <-ticker.C:
		}
	}
}

// Keep lets the row be written, and waits for that while the backend server leaves and the wait is short.
func (r *Resume) Keep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveWait)
	defer cancel()
	for {
		past, kept, written := r.past()
		if kept {
			return
		}
		select {
		case r.changed <- struct{}{}:
		default:
		}
		if !past.Left {
			return
		}
		select {
		case <-written:
		case <-ctx.Done():
			r.log.LogAttrs(ctx, slog.LevelWarn, "leaving acknowledged before it was kept", slog.String("process", past.Heartbeat.String()))

			return
		}
	}
}

// past returns what must be kept of the backend server, whether the row says so, and a channel that the next write closes.
func (r *Resume) past() (past beat.Snapshot, kept bool, written <-chan struct{}) {
	past, known := r.guard.Past(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()

	return past, !known || same(past, r.saved.past), r.written
}

// keep writes changes until the context ends.
func (r *Resume) keep(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		wait := demandInterval/2 + rand.N(demandInterval)
		if _, kept, _ := r.past(); !kept {
			wait = retryPause
		}
		timer, demandDue := time.NewTimer(wait), false
		select {
		case <-ctx.Done():
		case <-r.changed:
		case <-timer.C:
			demandDue = true
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
		err := r.save(ctx, demandDue)
		if err != nil && !failed && ctx.Err() == nil {
			r.log.LogAttrs(ctx, slog.LevelWarn, "row not kept", slog.String("error", err.Error()))
		}
		failed = err != nil
	}
}

// save writes the row if it differs from what must be kept; what is known of call trees counts only where it is due.
func (r *Resume) save(ctx context.Context, demandDue bool) error {
	now := time.Now()
	past, kept, _ := r.past()
	if past.Heartbeat.ID == "" {
		return nil
	}
	next := state{past: past, demand: r.demand.Snapshot(now), keptAt: now}
	if kept && (!demandDue || r.near(next)) {
		return nil
	}
	text, err := encode(next)
	if err != nil {
		return err
	}
	if _, err = r.table.Put(ctx, r.key(), text, ""); err != nil {
		return err
	}
	r.note(next)

	return nil
}

// near reports whether what is known of call trees is much the same as the row says.
func (r *Resume) near(next state) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return next.demand.SimilarTo(r.saved.demand)
}

// note remembers what the row says.
func (r *Resume) note(kept state) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved = kept
	close(r.written)
	r.written = make(chan struct{})
}
