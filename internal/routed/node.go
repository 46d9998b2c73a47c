package routed

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/admin"
	"github.com/pistachiotack/pistachiotack/internal/crash"
	"github.com/pistachiotack/pistachiotack/internal/demand"
	"github.com/pistachiotack/pistachiotack/internal/front"
	"github.com/pistachiotack/pistachiotack/internal/gossip"
	"github.com/pistachiotack/pistachiotack/internal/guard"
	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/meter"
	"github.com/pistachiotack/pistachiotack/internal/peers"
	"github.com/pistachiotack/pistachiotack/internal/resume"
	"github.com/pistachiotack/pistachiotack/internal/rules"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/pkg/leave"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/quota"
)

const (
	// maxBufferedDecisions is the number of lines of the decision log that may wait to be written; further lines are dropped.
	maxBufferedDecisions = 512
	// meanContactsInterval is the mean time between reads of the table rows by which nodes discover each other.
	meanContactsInterval = 30 * time.Second
)

// Options configures a node.
type Options struct {
	Name       string
	DataCentre string
	Service    string
	// Backend is the address of the local backend server.
	Backend string
	// HeartbeatInterval is the time between heartbeats of the backend server.
	HeartbeatInterval time.Duration
	// Clients is the listen address for requests of clients and the backend server on this VM, Peers the one for calls forwarded by
	// other nodes, Control the one for RPC between nodes, and Operators the one for metrics and status pages.
	Clients   string
	Peers     string
	Control   string
	Operators string
	// GracePeriod is the time between the call of Stop and the end of the process.
	GracePeriod time.Duration
	// Quota limits the retries of the whole fleet.
	Quota quota.Limits
}

// Dialect reads and writes the headers that the clients and backend servers of the deployment use.
type Dialect interface {
	front.Dialect
	guard.Dialect
}

// Store is the service that keeps the routes and the addresses of nodes in the platform's table.
type Store interface {
	kernel.Service
	rules.Feed
}

// Dependencies are the parts of a node that depend on the deployment.
type Dependencies struct {
	Dialect Dialect
	Store   Store
	// Services returns further services, which start after those of the node. They receive heartbeats and report readiness.
	Services func(node *Node) []kernel.Service
	Log      *slog.Logger
	// Decisions receives the decision log, nil for none.
	Decisions io.Writer
}

// Node is one running node.
type Node struct {
	options  Options
	log      *slog.Logger
	rules    *rules.Rules
	gossip   *gossip.Gossip
	guard    *guard.Guard
	front    *front.Front
	started  *kernel.Started
	draining atomic.Bool
}

// Start starts a node, which runs until Stop. The end of the context doesn't stop it.
func Start(ctx context.Context, options Options, dependencies Dependencies) (*Node, error) {
	ctx = context.WithoutCancel(ctx)
	n := &Node{options: options, log: dependencies.Log}
	k := kernel.New(dependencies.Log)
	for _, service := range n.services(dependencies) {
		if err := k.Register(service); err != nil {
			return nil, err
		}
	}
	var err error
	if n.started, err = k.Start(ctx); err != nil {
		return nil, err
	}
	n.log.LogAttrs(ctx, slog.LevelInfo, "node started",
		slog.String("node", options.Name),
		slog.String("dataCentre", options.DataCentre),
		slog.String("service", options.Service),
		slog.String("clients", n.front.Address()),
		slog.String("peers", n.guard.Address()),
	)

	return n, nil
}

// services creates the services, in the order in which they start.
func (n *Node) services(dependencies Dependencies) []kernel.Service {
	o := n.options
	incarnation := uint64(time.Now().UnixNano())
	n.rules = rules.New(dependencies.Store, dependencies.Log)
	n.gossip = gossip.New(gossip.Options{
		Self:            member.Entry{ID: o.Name, Incarnation: incarnation, DataCentre: o.DataCentre, Service: o.Service},
		Timing:          member.Options{Seed: incarnation},
		ContactInterval: meanContactsInterval,
		Log:             dependencies.Log,
	})
	n.guard = guard.New(guard.Options{
		Listen:   o.Peers,
		Service:  o.Service,
		Backend:  o.Backend,
		Interval: o.HeartbeatInterval,
		Dialect:  dependencies.Dialect,
		Log:      dependencies.Log,
	})
	n.front = front.New(front.Options{
		Listen:     o.Clients,
		Node:       o.Name,
		DataCentre: o.DataCentre,
		Service:    o.Service,
		Quota:      o.Quota,
		Dialect:    dependencies.Dialect,
		Seed:       incarnation,
	})
	services := []kernel.Service{
		trace.New(dependencies.Decisions, o.Name, maxBufferedDecisions),
		meter.New(map[string]string{"node": o.Name, "data_centre": o.DataCentre, "target_service": o.Service}),
		dependencies.Store,
		peers.New(peers.Options{Listen: o.Control, Log: dependencies.Log}),
		n.gossip,
		n.rules,
		demand.New(o.Service),
		crash.New(o.Service, dependencies.Log),
		n.guard,
		n.front,
		resume.New(o.Name, o.Service, dependencies.Log),
		admin.New(o.Operators, gossip.Name),
	}

	return append(services, dependencies.Services(n)...)
}

// Ready reports whether the node has routes and is not draining.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.rules.Table() != nil
}

// Wait waits until the context ends, and returns an error if a service of the node ends before.
func (n *Node) Wait(ctx context.Context) error {
	return n.started.Wait(ctx)
}

const (
	// deregistrationDelay is how long clients may keep sending requests after the node stopped being ready, at most
	// maxDeregistrationShare of the grace period.
	deregistrationDelay    = 2500 * time.Millisecond
	maxDeregistrationShare = 0.6
	// minIdleTime is how long no request must have been in progress before the node refuses new ones.
	minIdleTime = 300 * time.Millisecond
	// Shares of the grace period after which the node refuses new requests, gives up those in progress, and has ended.
	refuseShare  = 0.75
	abandonShare = 0.84
	stopShare    = 0.93
	// answerMargin is the time allowed for a response after its deadline.
	answerMargin = 100 * time.Millisecond
	// drainInterval is the time between checks for requests in progress, and the time allowed for the last responses to be written.
	drainInterval = 20 * time.Millisecond
)

// Stop drains the node, announces to the fleet that it has left, and stops the services within the grace period.
func (n *Node) Stop(ctx context.Context) error {
	stopStartedAt := time.Now()
	n.draining.Store(true)
	n.front.DisableKeepAlives()
	n.gossip.SetLeaving()
	deregistration := min(deregistrationDelay, n.graceDeadline(stopStartedAt, maxDeregistrationShare).Sub(stopStartedAt))
	end := leave.NewEnd(stopStartedAt.Add(deregistration), n.graceDeadline(stopStartedAt, abandonShare).Add(-answerMargin))
	n.front.RefuseLate(end)
	n.guard.RefuseLate(end)
	n.log.LogAttrs(ctx, slog.LevelInfo, "node leaves",
		slog.Int64("requests", n.front.Active()), slog.Int64("executions", n.guard.Active()))
	n.waitForTurn(ctx, stopStartedAt)
	n.guard.StartDraining()
	n.waitIdle(n.graceDeadline(stopStartedAt, refuseShare), func(idle time.Duration) bool {
		return time.Since(stopStartedAt) >= deregistration && idle >= minIdleTime
	})
	n.front.RefuseNewRequests()
	n.waitIdle(n.graceDeadline(stopStartedAt, abandonShare), func(idle time.Duration) bool { return idle >= drainInterval })
	n.log.LogAttrs(ctx, slog.LevelInfo, "node stops", slog.Duration("after", time.Since(stopStartedAt)),
		slog.Int64("requests", n.front.Active()), slog.Int64("executions", n.guard.Active()))
	n.front.GiveUp()
	n.guard.GiveUp()
	stopCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), n.graceDeadline(stopStartedAt, stopShare))
	defer cancel()

	return errors.CombineErrors(n.gossip.SetState(member.StateLeft), n.started.Stop(stopCtx))
}

// waitForTurn waits until the node may refuse calls to its backend server, which may outlive the node.
func (n *Node) waitForTurn(ctx context.Context, stopStartedAt time.Time) {
	limits := leave.NewLimits(n.options.GracePeriod, minIdleTime)
	self := n.gossip.Self()
	if self.State != member.StateServing {
		limits.Latest = limits.Earliest
	}
	own := leave.Stop{Node: self.ID, BeganAt: self.LeavingAt}
	for {
		elapsed := time.Since(stopStartedAt)
		staying, stopping := n.servingOthers()
		if limits.Due(elapsed, own, staying, stopping) {
			n.log.LogAttrs(ctx, slog.LevelInfo, "calls refused",
				slog.Duration("after", elapsed), slog.Int("staying", staying), slog.Int("stopping", len(stopping)))

			return
		}
		time.Sleep(drainInterval)
	}
}

// servingOthers returns the number of other nodes of the service that serve and stay, and the stops of those that still serve.
func (n *Node) servingOthers() (staying int, stopping []leave.Stop) {
	for _, entry := range n.gossip.Members(n.options.Service) {
		switch {
		case entry.ID == n.options.Name || entry.State != member.StateServing:
		case entry.LeavingAt.IsZero():
			staying++
		default:
			stopping = append(stopping, leave.Stop{Node: entry.ID, BeganAt: entry.LeavingAt})
		}
	}

	return staying, stopping
}

// graceDeadline returns the time at which the given share of the grace period has passed.
func (n *Node) graceDeadline(startedAt time.Time, share float64) time.Time {
	return startedAt.Add(time.Duration(share * float64(n.options.GracePeriod)))
}

// waitIdle polls until idleEnough accepts the time since a request or call was last in progress, or until the deadline.
func (n *Node) waitIdle(deadline time.Time, idleEnough func(idle time.Duration) bool) {
	idleSince := time.Now()
	for time.Now().Before(deadline) {
		if n.front.Active()+n.guard.Active() > 0 {
			idleSince = time.Now()
		}
		if idleEnough(time.Since(idleSince)) {
			return
		}
		time.Sleep(drainInterval)
	}
}
