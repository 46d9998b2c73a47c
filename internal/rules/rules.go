package rules

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/meter"
	"github.com/pistachiotack/pistachiotack/internal/panics"
	"github.com/pistachiotack/pistachiotack/internal/waits"
	"github.com/pistachiotack/pistachiotack/pkg/eras"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/pace"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
)

// Name is the name of the kernel service. It equals that of the settings holder, so that other services find the revision in force
// under one name in both kinds of node.
const Name = "holder"

const (
	// feedInterval is the pause between polls, so that changes in quick succession are fetched together.
	feedInterval = 250 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the mean delay after a failed poll.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// peerInterval is the interval of the checks for a node with a newer version.
	peerInterval = 200 * time.Millisecond
	// peerTimeout bounds one control call to another node.
	peerTimeout = 500 * time.Millisecond
	// maxHints bounds the queue of hints; further hints are dropped.
	maxHints = 4
)

// polls sets for how long the platform is asked to hold a poll of the change feed.
var polls = pace.Polls{
	Shortest: 300 * time.Millisecond,
	Longest:  20 * time.Second,
	Mean:     900 * time.Millisecond,
	Apart:    100 * time.Millisecond,
}

// ErrCursorExpired is returned by a Feed that no longer retains the changes after the cursor.
var ErrCursorExpired = errors.New("feed cursor is older than the retained changes")

// Manifest is an encoded version of the route table, as the platform stores it.
type Manifest []byte

// Feed provides the versions of the route table that the operators have published.
type Feed interface {
	// Newest returns the newest manifest, nil if there is none, and the cursor after it.
	Newest(ctx context.Context) (Manifest, eras.Version, error)
	// Next waits for manifests after the cursor, and returns them oldest first, none if none arrives in time. The error may wrap
	// ErrCursorExpired.
	Next(ctx context.Context, cursor eras.Version, wait time.Duration) ([]Manifest, eras.Version, error)
	// Decode returns the route table that a manifest encodes.
	Decode(manifest Manifest) (*routes.Table, error)
}

// Control makes and serves control calls between nodes.
type Control interface {
	Register(name string, receiver any) error
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Members lists the nodes of the fleet, with the version of the route table that each has.
type Members interface {
	All() []member.Entry
}

// Rules is the kernel service that holds the route table in force.
type Rules struct {
	feed    Feed
	log     *slog.Logger
	control Control
	members Members
	cancel  context.CancelFunc
	loops   *errgroup.Group
	hints   chan hint

	// restored is closed once Restore has been called.
	restored     chan struct{}
	restoredOnce sync.Once

	mu       sync.Mutex
	manifest Manifest
	past     Past
	// pending is a version of the platform that may be older than what this node had in force before its restart; it is put in
	// force at pendingUntil unless a newer one is found.
	pending      *version
	pendingUntil time.Time
	table        atomic.Pointer[routes.Table]
	// startedAt is when polling began, heardAt when the platform last responded to a poll, zero if it has not yet.
	startedAt time.Time
	heardAt   atomic.Pointer[time.Time]
}

// hint is the control address of a node and the newer version that it has.
type hint struct {
	version uint64
	control string
}

// New returns a service without a route table.
func New(feed Feed, log *slog.Logger) *Rules {
	return &Rules{feed: feed, log: log, hints: make(chan hint, maxHints), restored: make(chan struct{})}
}

// String returns the name of the service.
func (*Rules) String() string {
	return Name
}

// Start begins to poll the platform and the other nodes.
func (r *Rules) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if r.control, err = kernel.Find[Control](k, "control"); err != nil {
		return nil, err
	}
	if r.members, err = kernel.Find[Members](k, "gossip"); err != nil {
		return nil, err
	}
	metrics, err := kernel.Find[*meter.Meter](k, meter.Name)
	if err != nil {
		return nil, err
	}
	metrics.RegisterGauge("routes_version", func() float64 { return float64(r.Revision()) })
	metrics.RegisterGauge("routes_store_silence_seconds", func() float64 { return r.storeSilence().Seconds() })
	if err = r.control.Register(receiverName, &Receiver{rules: r}); err != nil {
		return nil, err
	}
	r.startedAt = time.Now()
	ctx, r.cancel = context.WithCancel(ctx)
	r.loops, ctx = errgroup.WithContext(ctx)
	r.loops.Go(func() error { return panics.Keep(ctx, r.log, "routes from the store", r.watchFeed) })
	r.loops.Go(func() error { return panics.Keep(ctx, r.log, "routes from other nodes", r.watchPeers) })
	done := make(chan error, 1)
	go func() { done <- r.loops.Wait() }()

	return done, nil
}

// Stop ends polling.
func (r *Rules) Stop(context.Context) error {
	r.cancel()

	return r.loops.Wait()
}

// Table returns the route table in force, nil if there is none yet.
func (r *Rules) Table() *routes.Table {
	return r.table.Load()
}

// Revision returns the version of the route table in force, zero for none.
func (r *Rules) Revision() uint64 {
	if table := r.table.Load(); table != nil {
		return table.Version()
	}

	return 0
}

// storeSilence returns the time since the platform last responded to a poll, since the start if it has not yet.
func (r *Rules) storeSilence() time.Duration {
	if at := r.heardAt.Load(); at != nil {
		return time.Since(*at)
	}

	return time.Since(r.startedAt)
}

// NotifyVersion queues a hint that the node at the control address has the given version. A version that is not newer is ignored.
func (r *Rules) NotifyVersion(version uint64, control string) {
	if version <= r.Revision() || control == "" {
		return
	}
	select {
	case r.hints <- hint{version: version, control: control}:
	default:
	}
}

// watchFeed polls the change feed of the platform until the context ends.
func (r *Rules) watchFeed(ctx context.Context) error {
	cursor, haveCursor := eras.Version{}, false
	failures := 0
	for ctx.Err() == nil {
		manifests, next, err := r.poll(ctx, cursor, haveCursor)
		switch {
		case err == nil:
			r.logReturn(ctx, failures)
			now := time.Now()
			r.heardAt.Store(&now)
			cursor, haveCursor, failures = next, true, 0
			r.applyFromPlatform(ctx, manifests)
		case errors.Is(err, ErrCursorExpired):
			haveCursor = false
		default:
			// the platform may come back from an older copy, in which the cursor means something else
			haveCursor = false
			failures++
			r.logOutage(ctx, failures, err)
		}
		waits.Sleep(ctx, r.pollDelay(failures))
	}

	return nil
}

// poll reads the newest manifest if there is no valid cursor, and otherwise waits for a change after it.
func (r *Rules) poll(ctx context.Context, cursor eras.Version, haveCursor bool) ([]Manifest, eras.Version, error) {
	if !haveCursor {
		manifest, next, err := r.feed.Newest(ctx)

		return []Manifest{manifest}, next, err
	}

	return r.feed.Next(ctx, cursor, polls.Wait(len(r.members.All()), rand.Float64()))
}

// pollDelay returns the pause before the next poll. After failures it doubles up to maxRetryDelay, with jitter.
func (r *Rules) pollDelay(failures int) time.Duration {
	if failures == 0 {
		return feedInterval
	}
	delay := min(minRetryDelay<<min(failures-1, 8), maxRetryDelay)

	return delay/2 + time.Duration(rand.Int64N(int64(delay)))
}

// logOutage logs the first failure of an outage only.
func (r *Rules) logOutage(ctx context.Context, failures int, err error) {
	if failures != 1 || ctx.Err() != nil {
		return
	}
	r.log.LogAttrs(ctx, slog.LevelWarn, "platform lost", slog.Duration("silence", r.storeSilence()), slog.String("error", err.Error()))
}

// logReturn logs that the platform answers again after an outage.
func (r *Rules) logReturn(ctx context.Context, failures int) {
	if failures > 0 {
		r.log.LogAttrs(ctx, slog.LevelInfo, "platform back", slog.Int("failures", failures))
	}
}

// version is a manifest with the route table that it encodes.
type version struct {
	manifest Manifest
	table    *routes.Table
}

// newestValid decodes the newest of the manifests, or the one before it if that is invalid. It reports whether there is a valid one.
func (r *Rules) newestValid(ctx context.Context, manifests []Manifest, source string) (version, bool) {
	for _, manifest := range slices.Backward(manifests) {
		if manifest == nil {
			continue
		}
		table, err := r.feed.Decode(manifest)
		if err == nil {
			return version{manifest: manifest, table: table}, true
		}
		r.log.LogAttrs(ctx, slog.LevelError, "invalid routes rejected", slog.String("source", source), slog.String("error", err.Error()))
	}

	return version{}, false
}

// apply puts a version in force if it is newer than the current one.
func (r *Rules) apply(ctx context.Context, v version, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.Revision()
	if v.table.Version() <= previous {
		return
	}
	r.manifest = v.manifest
	r.table.Store(v.table)
	r.log.LogAttrs(ctx, slog.LevelInfo, "routes in force",
		slog.Uint64("version", v.table.Version()),
		slog.Uint64("before", previous),
		slog.String("source", source),
		slog.Duration("storeSilence", r.storeSilence()),
	)
}
