package rules

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
)

// Name is the name under which others look for what is in force.
const Name = "holder"

const (
	// feedWait is the longest time that the platform holds a question for changes open.
	feedWait = 20 * time.Second
	// feedPause is the time between two questions, in which changes that follow each other quickly are gathered.
	feedPause = 250 * time.Millisecond
	// retryFirst and retryMost bound the time between questions that failed.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// peerInterval is the time between looks for a node that has a newer version.
	peerInterval = 200 * time.Millisecond
	// peerTimeout bounds one call to another node.
	peerTimeout = 500 * time.Millisecond
	// hintsMost bounds the hints of newer versions that wait.
	hintsMost = 4
)

// ErrCursorExpired is returned by a feed whose history no longer reaches back to the cursor.
var ErrCursorExpired = errors.New("history is no longer available")

// Manifest is a version of the routes as the platform keeps it.
type Manifest []byte

// Feed gives the routes that the operators have put in force.
type Feed interface {
	// Newest returns the newest text, nil if there is none, and the cursor behind it.
	Newest(ctx context.Context) (Manifest, uint64, error)
	// Next waits for a text behind the cursor, nil if none came in time; the error may wrap ErrForgotten.
	Next(ctx context.Context, cursor uint64, wait time.Duration) (Manifest, uint64, error)
	// Decode reads a text.
	Decode(text Manifest) (*routes.Table, error)
}

// Control calls other nodes and serves their calls.
type Control interface {
	Register(name string, receiver any) error
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Members names the nodes of the fleet with the versions that they hold.
type Members interface {
	All() []member.Entry
}

// Rules is the kernel service.
type Rules struct {
	feed    Feed
	log     *slog.Logger
	control Control
	members Members
	cancel  context.CancelFunc
	loops   *errgroup.Group
	hints   chan hint

	mu    sync.Mutex
	text  Manifest
	table atomic.Pointer[routes.Table]
}

// hint names a node that holds a newer version.
type hint struct {
	version uint64
	control string
}

// New returns a service without routes.
func New(feed Feed, log *slog.Logger) *Rules {
	return &Rules{feed: feed, log: log, hints: make(chan hint, hintsMost)}
}

// String returns the name of the service.
func (*Rules) String() string {
	return Name
}

// Start begins to follow the platform and the other nodes.
func (r *Rules) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if r.control, err = kernel.Find[Control](k, "control"); err != nil {
		return nil, err
	}
	if r.members, err = kernel.Find[Members](k, "gossip"); err != nil {
		return nil, err
	}
	if err = r.control.Register(receiverName, &Receiver{rules: r}); err != nil {
		return nil, err
	}
	ctx, r.cancel = context.WithCancel(ctx)
	r.loops, ctx = errgroup.WithContext(ctx)
	r.loops.Go(func() error { return r.follow(ctx) })
	r.loops.Go(func() error { return r.watchPeers(ctx) })
	done := make(chan error, 1)
	go func() { done <- r.loops.Wait() }()

	return done, nil
}

// Stop ends the loops.
func (r *Rules) Stop(context.Context) error {
	r.cancel()

	return r.loops.Wait()
}

// Table returns the routes in force, nil while none are known.
func (r *Rules) Table() *routes.Table {
	return r.table.Load()
}

// Revision returns the version in force, zero for none.
func (r *Rules) Revision() uint64 {
	if table := r.table.Load(); table != nil {
		return table.Version()
	}

	return 0
}

// NotifyVersion takes the word that the node at the control address holds a version.
func (r *Rules) NotifyVersion(version uint64, control string) {
	if version <= r.Revision() || control == "" {
		return
	}
	select {
	case r.hints <- hint{version: version, control: control}:
	default:
	}
}

// follow asks the platform again and again until the context ends.
func (r *Rules) follow(ctx context.Context) error {
	cursor, known := uint64(0), false
	failures := 0
	for ctx.Err() == nil {
		text, next, err := r.ask(ctx, cursor, known)
		switch {
		case err == nil:
			cursor, known, failures = next, true, 0
			r.take(ctx, text, "platform")
		case errors.Is(err, ErrCursorExpired):
			known = false
		default:
			failures++
			r.logLost(ctx, failures, err)
		}
		pause(ctx, r.wait(failures))
	}

	return nil
}

func (r *Rules) ask(ctx context.Context, cursor uint64, known bool) (Manifest, uint64, error) {
	if !known {
		return r.feed.Newest(ctx)
	}

	return r.feed.Next(ctx, cursor, feedWait)
}

func (r *Rules) wait(failures int) time.Duration {
	if failures == 0 {
		return feedPause
	}
	most := min(retryFirst<<min(failures-1, 8), retryMost)

	return most/2 + time.Duration(rand.Int64N(int64(most)))
}

// logLost writes one line for an outage, not one for each question.
func (r *Rules) logLost(ctx context.Context, failures int, err error) {
	if failures != 1 || ctx.Err() != nil {
		return
	}
	r.log.LogAttrs(ctx, slog.LevelWarn, "platform lost", slog.String("error", err.Error()))
}

// take puts a text in force if it is newer than what is held.
func (r *Rules) take(ctx context.Context, text Manifest, source string) {
	if text == nil {
		return
	}
	table, err := r.feed.Decode(text)
	if err != nil {
		r.log.LogAttrs(ctx, slog.LevelError, "routes not taken", slog.String("source", source), slog.String("error", err.Error()))

		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.Revision()
	if table.Version() <= before {
		return
	}
	r.text = text
	r.table.Store(table)
	r.log.LogAttrs(ctx, slog.LevelInfo, "routes in force",
		slog.Uint64("version", table.Version()),
		slog.Uint64("before", before),
		slog.String("source", source),
	)
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
