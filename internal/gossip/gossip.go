package gossip

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// Name is the name under which the kernel knows the service.
const Name = "gossip"

const (
	// callTimeout bounds one call to another node.
	callTimeout = time.Second
	// maxCalls bounds the calls under way.
	maxCalls = 32
	// flushRounds is how many rounds of gossip a leaving node waits for.
	flushRounds = 3
	// startGrace is how long a node that starts is kept quiet about, so that it does not take the place of one that serves.
	startGrace = time.Second
)

// Control calls other nodes and serves their calls.
type Control interface {
	Register(name string, receiver any) error
	Call(ctx context.Context, address, method string, args, reply any) error
	Address() string
}

// Options configure the service.
type Options struct {
	// Self describes the node; its control address is filled in at Start, its peers address by Serve.
	Self member.Entry
	// Timing holds the timing of the protocol, zero values for the defaults.
	Timing member.Options
	// Seeds are control addresses to begin with.
	Seeds []string
	// Targets are members known beforehand; this node calls them at these addresses whatever they announce.
	Targets []config.Target
	// ContactInterval is the mean time between looks at the contacts in the table.
	ContactInterval time.Duration
	Log             *slog.Logger
}

// Gossip is the service `gossip`.
type Gossip struct {
	options Options
	kernel  *kernel.Kernel
	control Control
	table   Table
	fixed   map[string]config.Target
	began   time.Time

	mu    sync.Mutex
	fleet *member.Fleet

	view    atomic.Pointer[view]
	changes chan struct{}
	cancel  context.CancelFunc
	// launch starts the loops, once.
	launch   func()
	launched sync.Once
	loops    *errgroup.Group
	calls    *errgroup.Group
	done     chan error
}

// New returns the service, which knows only the node itself and the fixed targets.
func New(options Options) *Gossip {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.ContactInterval <= 0 {
		options.ContactInterval = defaultContacts
	}
	options.Self.State = member.StateStarting
	g := &Gossip{
		options: options,
		fixed:   map[string]config.Target{},
		changes: make(chan struct{}, 1),
		done:    make(chan error, 1),
		calls:   &errgroup.Group{},
	}
	g.calls.SetLimit(maxCalls)
	for _, target := range options.Targets {
		g.fixed[target.Name] = target
	}
	g.view.Store(newView(nil))

	return g
}

// String returns the service's name.
func (*Gossip) String() string {
	return Name
}

// Start prepares the node's entry, of which nobody hears before it serves or was starting for long; service `control` must be
// there, `store` may be.
func (g *Gossip) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if g.control, err = kernel.Find[Control](k, "control"); err != nil {
		return nil, err
	}
	if table, err := kernel.Find[Table](k, store.Name); err == nil && table.Configured() {
		g.table = table
	}
	g.kernel = k
	g.began = time.Now()
	self := g.options.Self
	self.Control = g.control.Address()
	g.fleet = member.New(self, g.options.Timing, g.began)
	g.fleet.AddContacts(g.options.Seeds)
	g.AddMembers(fixedEntries(g.options.Targets))
	ctx, g.cancel = context.WithCancel(ctx)
	g.loops, ctx = errgroup.WithContext(ctx)
	g.launch = func() { g.run(ctx) }
	time.AfterFunc(startGrace, func() { g.launched.Do(g.launch) })

	return g.done, nil
}

// run serves the calls of others and starts the loops; their end is reported on the done channel once the calls under way have ended too.
func (g *Gossip) run(ctx context.Context) {
	if err := g.control.Register(receiverName, &Receiver{gossip: g}); err != nil {
		g.done <- err

		return
	}
	g.loops.Go(func() error { return g.tickLoop(ctx) })
	if g.table != nil {
		g.loops.Go(func() error { return g.contactLoop(ctx) })
	}
	go func() {
		err := g.loops.Wait()
		_ = g.calls.Wait()
		g.done <- err
	}()
}

// Stop ends the loops; a node that has left first waits until that was passed on.
func (g *Gossip) Stop(ctx context.Context) error {
	if g.Self().State == member.StateLeft {
		g.AwaitPropagation(ctx)
	}
	g.cancel()
	g.launched.Do(func() { g.done <- nil })

	return nil
}

// AwaitPropagation waits for a few rounds of gossip if there is anybody to tell.
func (g *Gossip) AwaitPropagation(ctx context.Context) {
	if len(g.All()) < 2 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(flushRounds * g.gossipPeriod()):
	}
}

// Self returns the node's own entry.
func (g *Gossip) Self() member.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.fleet.Self()
}

// Members returns all nodes of a service that are neither dead nor left; the slice must not be changed.
func (g *Gossip) Members(service string) []member.Entry {
	return g.view.Load().byService[service]
}

// All returns all nodes that are neither dead nor left; the slice must not be changed.
func (g *Gossip) All() []member.Entry {
	return g.view.Load().living
}

// SetPeers announces the address for forwarded calls.
func (g *Gossip) SetPeers(address string) {
	_ = g.change(func(now time.Time) error {
		g.fleet.SetPeers(now, address)

		return nil
	})
}

// SetState announces a new state of the node, with an error that wraps member.ErrTransition if its life does not allow it.
func (g *Gossip) SetState(state member.State) error {
	err := g.change(func(now time.Time) error { return g.fleet.SetState(now, state) })
	if err == nil && state == member.StateServing {
		g.launched.Do(g.launch)
	}

	return err
}

// SetRevision sets the settings revision that the node's messages mention.
func (g *Gossip) SetRevision(revision uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.fleet.Self().Revision != revision {
		g.fleet.SetRevision(now, revision)
		g.renew(now)
	}
}

// AddMembers takes entries in as if another node had told of them.
func (g *Gossip) AddMembers(entries []member.Entry) {
	_ = g.change(func(now time.Time) error {
		for i := range entries {
			g.fleet.Merge(now, member.Update{Entry: &entries[i]})
		}

		return nil
	})
}

// change applies a step to the fleet, renews the view and lets the tick loop pass news on at once.
func (g *Gossip) change(step func(now time.Time) error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	err := step(now)
	g.renew(now)
	g.wake()

	return err
}

// wake lets the tick loop pass news on at once.
func (g *Gossip) wake() {
	select {
	case g.changes <- struct{}{}:
	default:
	}
}

func fixedEntries(targets []config.Target) []member.Entry {
	entries := make([]member.Entry, 0, len(targets))
	for _, target := range targets {
		entries = append(entries, member.Entry{
			ID:         target.Name,
			DataCentre: target.DataCentre,
			Service:    target.Service,
			State:      member.StateServing,
			Declared:   member.StateServing,
			Peers:      target.Peers,
			Control:    target.Control,
		})
	}

	return entries
}
