package resume

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/demand"
	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/panics"
	"github.com/pistachiotack/pistachiotack/internal/rules"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/internal/waits"
	"github.com/pistachiotack/pistachiotack/pkg/beat"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// Name is the name of the kernel service.
const Name = "resume"

const (
	// prefix is the prefix of the row keys; there is one row per node.
	prefix = "backends/"
	// retryInterval is the time between retries of a failed read or write of the backend server's state. Many nodes retrying faster would
	// overload a busy table.
	retryInterval = time.Second
	// demandSaveInterval is the shortest mean time between checks whether the demand estimates have changed. In the whole fleet checks
	// are demandSaveApart apart on average, since one part of the table takes 200 writes per second.
	demandSaveInterval = 6 * time.Second
	demandSaveApart    = 125 * time.Millisecond
	// persistTimeout limits how long the response to a draining or deregistering backend server waits for its row to be written.
	persistTimeout = 400 * time.Millisecond
)

// Table is the key-value table of the platform.
type Table interface {
	Put(ctx context.Context, key string, value []byte, etag string) (string, error)
	List(ctx context.Context, prefix, after string) ([]store.Row, error)
	// Era returns the number of times that the table has lost acknowledged rows, and a channel that is closed when it happens again.
	Era() (number uint64, changed <-chan struct{})
}

// Guard tracks the state of the local backend server.
type Guard interface {
	// Snapshot returns the state to be restored after a restart, false if there is none.
	Snapshot(now time.Time) (beat.Snapshot, bool)
	// Restore applies a snapshot from before the restart, and reports whether the backend server is ready as a result.
	Restore(now time.Time, past beat.Snapshot, alive bool) bool
	// Check sends a status check and returns what the process that responded states.
	Check(ctx context.Context) (beat.Health, error)
	// Changed receives a value when the snapshot has changed without a heartbeat.
	Changed() <-chan struct{}
}

// Demand holds the demand estimates.
type Demand interface {
	// Snapshot returns the estimates to be saved.
	Snapshot(now time.Time) demand.Snapshot
	// Restore restores estimates that were saved at the time at, except where there are newer ones.
	Restore(now time.Time, memory demand.Snapshot, at time.Time)
}

// Holder holds the routes in force.
type Holder interface {
	// Revision returns the version of the routes in force, zero for none.
	Revision() uint64
	// Restore sets what is known of the routes that were in force before the restart.
	Restore(past rules.Past)
}

// Members lists the nodes of the fleet.
type Members interface {
	All() []member.Entry
}

// Resume is the kernel service; Persist is safe for concurrent use.
type Resume struct {
	node    string
	service string
	log     *slog.Logger
	table   Table
	guard   Guard
	holder  Holder
	demand  Demand
	members Members
	changed chan struct{}
	cancel  context.CancelFunc

	mu    sync.Mutex
	saved state
	// lost is closed when the table has lost the saved row, nil while none is saved.
	lost <-chan struct{}
	// written is closed and replaced at each write.
	written chan struct{}
}

// New returns the kernel service for a node whose local backend server belongs to the service.
func New(node, service string, log *slog.Logger) *Resume {
	return &Resume{node: node, service: service, log: log, changed: make(chan struct{}, 1), written: make(chan struct{})}
}

// String returns the name of the service.
func (*Resume) String() string {
	return Name
}

// Start restores the saved state in the background, then saves changes until Stop.
func (r *Resume) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	err := kernel.FindAll(k,
		kernel.Into(store.Name, &r.table),
		kernel.Into("guard", &r.guard),
		kernel.Into(demand.Name, &r.demand),
		kernel.Into("holder", &r.holder),
		kernel.Into("gossip", &r.members),
	)
	if err != nil {
		return nil, err
	}
	ctx, r.cancel = context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		// the error has been logged, and what is not restored is learned from heartbeats
		_ = panics.Do(ctx, r.log, "restore of the saved state", func(ctx context.Context) error {
			r.restore(ctx)

			return nil
		})
		done <- panics.Keep(ctx, r.log, "saving of the state", func(ctx context.Context) error {
			r.run(ctx)

			return nil
		})
	}()

	return done, nil
}

// Stop cancels the background work.
func (r *Resume) Stop(context.Context) error {
	r.cancel()

	return nil
}

// restore loads the node's row and restores the state from it. While the table is away, the routes and heartbeats are not kept waiting.
func (r *Resume) restore(ctx context.Context) {
	_, lost := r.table.Era()
	saved, err := r.tryLoad(ctx)
	r.holder.Restore(r.pastRoutes(saved))
	if err != nil {
		r.log.LogAttrs(ctx, slog.LevelWarn, "saved state of the backend server not loaded", slog.String("error", err.Error()))
	}
	for errors.Is(err, store.ErrUnavailable) && ctx.Err() == nil {
		waits.Sleep(ctx, rand.N(retryInterval))
		_, lost = r.table.Era()
		saved, err = r.tryLoad(ctx)
	}
	if err != nil {
		return
	}
	snapshot := saved.backend
	if snapshot.Heartbeat.ID == "" {
		return
	}
	if saved.era == nil || *saved.era == r.era() {
		r.setSaved(saved, lost)
	}
	r.demand.Restore(time.Now(), saved.demand, saved.savedAt)
	alive, reason := false, "left"
	if !snapshot.Left {
		snapshot, alive, reason = r.checkAlive(ctx, snapshot)
	}
	ready := r.guard.Restore(time.Now(), snapshot, alive)
	r.log.LogAttrs(ctx, slog.LevelInfo, "backend server remembered", slog.String("process", snapshot.Heartbeat.String()),
		slog.Time("at", snapshot.AsOf), slog.Bool("resumed", ready), slog.String("reason", reason))
}

// tryLoad loads the node's row. A panic becomes an error.
func (r *Resume) tryLoad(ctx context.Context) (saved state, err error) {
	err = panics.Do(ctx, r.log, "load of the saved state", func(ctx context.Context) (err error) {
		saved, err = r.load(ctx)

		return err
	})

	return saved, err
}

// pastRoutes returns what the saved state shows about the routes in force before the restart.
func (r *Resume) pastRoutes(saved state) rules.Past {
	return rules.Past{Revision: saved.revision, RowsLost: saved.era != nil && *saved.era != r.era()}
}

// era returns the era of the table as of its latest response.
func (r *Resume) era() uint64 {
	number, _ := r.table.Era()

	return number
}

// load returns the node's saved state, the zero state if there is none.
func (r *Resume) load(ctx context.Context) (state, error) {
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

// checkAlive reports whether the process of the snapshot still responds to a status check, with the reason. The snapshot that it returns
// has the rate limit of the response, if there is one.
func (r *Resume) checkAlive(ctx context.Context, snapshot beat.Snapshot) (checked beat.Snapshot, alive bool, reason string) {
	found, err := r.guard.Check(ctx)
	switch {
	case err != nil:
		return snapshot, false, err.Error()
	case found.ID != snapshot.Heartbeat.ID:
		return snapshot, false, "another process answers: " + found.ID
	}
	if found.RateLimit.Stated() {
		snapshot = snapshot.WithRateLimit(found.RateLimit)
	}

	return snapshot, true, "answers"
}
