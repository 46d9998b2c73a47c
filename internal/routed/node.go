package routed

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/admin"
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
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/quota"
)

const (
	// logBuffer is the number of decision lines that wait to be written before lines are dropped.
	logBuffer = 512
	// contactsInterval is the mean time between looks at the table by which nodes find each other.
	contactsInterval = 30 * time.Second
)

// Options are the fixed properties of a node.
type Options struct {
	Name       string
	DataCentre string
	Service    string
	// Backend is the address of the backend server, Interval the time between its heartbeats.
	Backend           string
	HeartbeatInterval time.Duration
	// Clients is the address for the clients on this VM and its backend server, Peers the one for other nodes' calls.
	Clients   string
	Peers     string
	Control   string
	Operators string
	// GracePeriod is the time between the order to stop and the end of the process.
	GracePeriod time.Duration
	Quota       quota.Limits
}

// Dialect is what clients and backend servers speak.
type Dialect interface {
	front.Dialect
	guard.Dialect
}

// Store is the service that keeps routes and contacts.
type Store interface {
	kernel.Service
	rules.Feed
}

// Dependencies is what a deployment brings to a node.
type Dependencies struct {
	Dialect Dialect
	Store   Store
	// Services returns the services through which the deployment drives the node.
	Services func(node *Node) []kernel.Service
	Log      *slog.Logger
	// Decisions receives the decision log, nil for none.
	Decisions io.Writer
}

// Node is one running node.
type Node struct {
	options Options
	log     *slog.Logger
	rules   *rules.Rules
	gossip  *gossip.Gossip
	guard   *guard.Guard
	front   *front.Front
	started *kernel.Started
	leaving atomic.Bool
}

// Start builds and starts a node; it runs until Stop.
func Start(ctx context.Context, options Options, outside Dependencies) (*Node, error) {
	ctx = context.WithoutCancel(ctx)
	n := &Node{options: options, log: outside.Log}
	k := kernel.New(outside.Log)
	for _, service := range n.services(outside) {
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

// services returns the services in the order in which they start.
func (n *Node) services(outside Dependencies) []kernel.Service {
	o := n.options
	incarnation := uint64(time.Now().UnixNano())
	n.rules = rules.New(outside.Store, outside.Log)
	n.gossip = gossip.New(gossip.Options{
		Self:     member.Entry{ID: o.Name, Incarnation: incarnation, DataCentre: o.DataCentre, Service: o.Service},
		Timing:   member.Options{Seed: incarnation},
		Contacts: contactsInterval,
		Log:      outside.Log,
	})
	n.guard = guard.New(guard.Options{
		Listen:   o.Peers,
		Service:  o.Service,
		Backend:  o.Backend,
		Interval: o.HeartbeatInterval,
		Dialect:  outside.Dialect,
		Log:      outside.Log,
	})
	n.front = front.New(front.Options{
		Listen:     o.Clients,
		Node:       o.Name,
		DataCentre: o.DataCentre,
		Service:    o.Service,
		Quota:      o.Quota,
		Dialect:    outside.Dialect,
		Seed:       incarnation,
	})
	services := []kernel.Service{
		trace.New(outside.Decisions, o.Name, logBuffer),
		meter.New(map[string]string{"node": o.Name, "data_centre": o.DataCentre, "target_service": o.Service}),
		outside.Store,
		peers.New(peers.Options{Listen: o.Control, Log: outside.Log}),
		n.gossip,
		n.rules,
		demand.New(o.Service),
		n.guard,
		n.front,
		resume.New(o.Name, o.Service, outside.Log),
		admin.New(o.Operators, gossip.Name),
	}

	return append(services, outside.Services(n)...)
}

// Ready reports whether the node takes requests.
func (n *Node) Ready() bool {
	return !n.leaving.Load() && n.rules.Table() != nil
}

// Wait returns when the context ends, or with an error when a service of the node ends.
func (n *Node) Wait(ctx context.Context) error {
	return n.started.Wait(ctx)
}

const (
	// noticeTime is how long clients may go on sending after readiness has ended, noticeShare its bound as a part of the grace time.
	noticeTime  = 2500 * time.Millisecond
	noticeShare = 0.6
	// workTime is how long the node goes on taking calls for its backend server, which may well outlive it; workShare its bound as
	// a part of the grace time.
	workTime  = 1500 * time.Millisecond
	workShare = 0.25
	// quietTime is how long no request may have come before the node ends.
	quietTime = 300 * time.Millisecond
	// refuseShare is the part of the grace time after which new requests are refused, drainShare the one after which running
	// work is given up, and stopShare the one by which the process has ended.
	refuseShare = 0.75
	drainShare  = 0.83
	stopShare   = 0.92
	// drainInterval is the time between looks at what still runs, and what the last answers take to go out.
	drainInterval = 20 * time.Millisecond
)

// Stop takes the node out of the fleet, waits for running work and ends the services.
func (n *Node) Stop(ctx context.Context) error {
	began := time.Now()
	n.leaving.Store(true)
	n.front.DisableKeepAlives()
	n.log.LogAttrs(ctx, slog.LevelInfo, "node leaves",
		slog.Int64("requests", n.front.Active()), slog.Int64("executions", n.guard.Active()))
	time.Sleep(min(workTime, n.after(began, workShare).Sub(began)))
	n.guard.StartDraining()
	notice := min(noticeTime, n.after(began, noticeShare).Sub(began))
	n.await(n.after(began, refuseShare), func(quiet time.Duration) bool {
		return time.Since(began) >= notice && quiet >= quietTime
	})
	n.front.RefuseNewRequests()
	n.await(n.after(began, drainShare), func(quiet time.Duration) bool { return quiet >= drainInterval })
	n.log.LogAttrs(ctx, slog.LevelInfo, "node stops", slog.Duration("after", time.Since(began)),
		slog.Int64("requests", n.front.Active()), slog.Int64("executions", n.guard.Active()))
	bounded, cancel := context.WithDeadline(context.WithoutCancel(ctx), n.after(began, stopShare))
	defer cancel()

	return errors.CombineErrors(n.gossip.SetState(member.StateLeft), n.started.Stop(bounded))
}

// after returns the moment at which a part of the grace time has passed.
func (n *Node) after(began time.Time, share float64) time.Time {
	return began.Add(time.Duration(share * float64(n.options.GracePeriod)))
}

// await returns when done accepts the time for which nothing has run, or at the deadline.
func (n *Node) await(deadline time.Time, done func(quiet time.Duration) bool) {
	quiet := time.Now()
	for time.Now().Before(deadline) {
		if n.front.Active()+n.guard.Active() > 0 {
			quiet = time.Now()
		}
		if done(time.Since(quiet)) {
			return
		}
		time.Sleep(drainInterval)
	}
}
