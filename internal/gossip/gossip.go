package gossip

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/panics"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/internal/waits"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// Name is the kernel's name for the service.
const Name = "gossip"

const (
	// callTimeout is the timeout of one call to another node.
	callTimeout = time.Second
	// maxCalls bounds the concurrent calls to other nodes.
	maxCalls = 32
	// propagationRounds is the number of gossip rounds that a leaving node waits before it stops.
	propagationRounds = 3
	propagationShare  = 0.5
	// announceDelay is how long a starting node stays out of gossip unless its backend server is heard earlier, so that its entry does not replace
	// that of a serving incarnation of the same node.
	announceDelay = time.Second
)

// Control is the RPC service on the control listener: it calls other nodes and serves their calls.
type Control interface {
	Register(name string, receiver any) error
	Call(ctx context.Context, address, method string, args, reply any) error
	Address() string
}

// Options configures the service.
type Options struct {
	// Self is the node's own entry, without addresses: Start sets the control address, SetPeers the address for forwarded calls.
	Self member.Entry
	// Timing configures the membership protocol; zero values mean the defaults.
	Timing member.Options
	// Seeds are control addresses of nodes through which this node joins.
	Seeds []string
	// Targets are statically configured members. This node calls them at these addresses, whatever addresses they announce.
	Targets []config.Target
	// ContactInterval is the mean time between refreshes of the contacts from the table.
	ContactInterval time.Duration
	Log             *slog.Logger
}

// Gossip is the kernel service `gossip`. It is safe for concurrent use.
type Gossip struct {
	options      Options
	kernel       *kernel.Kernel
	control      Control
	table        Table
	fixedTargets map[string]config.Target
	startedAt    time.Time

	// mu guards fleet.
	mu    sync.Mutex
	fleet *member.Fleet

	// departures receives what other nodes know of the backend server beside this one, and departed is the last one known.
	departures chan member.Departure
	departed   *member.Departure

	// view is replaced as a whole, so that readers need no lock.
	view atomic.Pointer[view]
	// wakeups makes the tick loop start a round early.
	wakeups chan struct{}
	cancel  context.CancelFunc
	// launch starts the loops; it is called through launchOnce.
	launch     func()
	launchOnce sync.Once
	loops      *errgroup.Group
	// calls runs the outgoing calls, at most maxCalls at a time.
	calls *errgroup.Group
	done  chan error
}

// New returns a service that has not been started.
func New(options Options) *Gossip {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	if options.ContactInterval <= 0 {
		options.ContactInterval = defaultContactInterval
	}
	options.Self.State = member.StateStarting
	g := &Gossip{
		options:      options,
		fixedTargets: map[string]config.Target{},
		wakeups:      make(chan struct{}, 1),
		done:         make(chan error, 1),
		departures:   make(chan member.Departure, 1),
		calls:        &errgroup.Group{},
	}
	g.calls.SetLimit(maxCalls)
	for _, target := range options.Targets {
		g.fixedTargets[target.Name] = target
	}
	g.view.Store(newView(nil))

	return g
}

// String returns the service's name.
func (*Gossip) String() string {
	return Name
}

// Start creates the fleet with the node's own entry and the configured targets. Gossip starts when the node begins to serve, at the
// latest after announceDelay. It requires the service `control`, and uses the table of the service `store` if there is one.
func (g *Gossip) Start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if g.control, err = kernel.Find[Control](k, "control"); err != nil {
		return nil, err
	}
	if table, err := kernel.Find[Table](k, store.Name); err == nil && table.Configured() {
		g.table = table
	}
	g.kernel = k
	g.startedAt = time.Now()
	self := g.options.Self
	self.Control = g.control.Address()
	g.fleet = member.New(self, g.options.Timing, g.startedAt)
	g.fleet.AddContacts(g.options.Seeds)
	g.AddMembers(fixedEntries(g.options.Targets))
	ctx, g.cancel = context.WithCancel(ctx)
	g.loops, ctx = errgroup.WithContext(ctx)
	g.launch = func() { g.run(ctx) }
	time.AfterFunc(announceDelay, func() { g.launchOnce.Do(g.launch) })

	return g.done, nil
}

// run serves the calls of other nodes and starts the loops. Once the loops and the outgoing calls have ended, it reports on done.
func (g *Gossip) run(ctx context.Context) {
	if err := g.control.Register(receiverName, &Receiver{gossip: g}); err != nil {
		g.done <- err

		return
	}
	g.loops.Go(func() error { return panics.Keep(ctx, g.options.Log, "gossip rounds", g.tickLoop) })
	if g.table != nil {
		g.loops.Go(func() error { return panics.Keep(ctx, g.options.Log, "gossip contacts", g.contactLoop) })
	}
	go func() {
		err := g.loops.Wait()
		_ = g.calls.Wait()
		g.done <- err
	}()
}

// Stop ends the loops. If the node has left, it first waits for that to propagate, for propagationShare of the time to the deadline of the
// context at most: services that stop after this one need the rest.
func (g *Gossip) Stop(ctx context.Context) error {
	if g.Self().State == member.StateLeft {
		waitCtx, cancel := waits.WithShare(ctx, propagationShare)
		g.AwaitPropagation(waitCtx)
		cancel()
	}
	g.cancel()
	g.launchOnce.Do(func() { g.done <- nil })

	return nil
}

// AwaitPropagation waits for propagationRounds rounds of gossip, or until the context ends. Without other members it returns
// at once.
func (g *Gossip) AwaitPropagation(ctx context.Context) {
	if len(g.All()) < 2 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(propagationRounds * g.gossipInterval()):
	}
}

// Self returns the node's own entry.
func (g *Gossip) Self() member.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.fleet.Self()
}

// Members returns the nodes of a service that are neither dead nor left and have announced an address for forwarded calls. The
// slice must not be changed.
func (g *Gossip) Members(service string) []member.Entry {
	return g.view.Load().byService[service]
}

// All returns all nodes that are neither dead nor left. The slice must not be changed.
func (g *Gossip) All() []member.Entry {
	return g.view.Load().live
}

// SetPeers announces the address at which the node accepts forwarded calls.
func (g *Gossip) SetPeers(address string) {
	_ = g.update(func(now time.Time) error {
		g.fleet.SetPeers(now, address)

		return nil
	})
}

// SetState announces a new state of the node. It returns an error that wraps member.ErrTransition if the transition is not
// allowed.
func (g *Gossip) SetState(state member.State) error {
	err := g.update(func(now time.Time) error { return g.fleet.SetState(now, state) })
	if err == nil && state == member.StateServing {
		g.Join()
	}

	return err
}

// Join starts gossip at once, as the backend server beside this process has been heard.
func (g *Gossip) Join() {
	g.launchOnce.Do(g.launch)
}

// SetDeparted announces that the backend server beside the node has left.
func (g *Gossip) SetDeparted(departure member.Departure) {
	_ = g.update(func(now time.Time) error {
		g.fleet.SetDeparted(now, departure)
		g.departed = g.fleet.Self().Departed

		return nil
	})
}

// Departures returns a channel that receives the departure of the backend server beside the node that another node knows of.
func (g *Gossip) Departures() <-chan member.Departure {
	return g.departures
}

// SetLeaving announces that a planned stop of the node has begun.
func (g *Gossip) SetLeaving() {
	_ = g.update(func(now time.Time) error {
		g.fleet.SetLeaving(now)

		return nil
	})
}

// SetRevision sets the settings revision that the node's own entry carries.
func (g *Gossip) SetRevision(revision uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.fleet.Self().Revision != revision {
		g.fleet.SetRevision(now, revision)
		g.refreshView(now)
	}
}

// AddMembers merges entries into the fleet as if another node had sent them.
func (g *Gossip) AddMembers(entries []member.Entry) {
	_ = g.update(func(now time.Time) error {
		for i := range entries {
			g.fleet.Merge(now, member.Update{Entry: &entries[i]})
		}

		return nil
	})
}

// update changes the fleet, refreshes the view and wakes the tick loop, which propagates the change.
func (g *Gossip) update(apply func(now time.Time) error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	err := apply(now)
	g.refreshView(now)
	g.wake()

	return err
}

// wake makes the tick loop start a round early.
func (g *Gossip) wake() {
	select {
	case g.wakeups <- struct{}{}:
	default:
	}
}

// fixedEntries returns a serving entry for each configured target.
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
