package node

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/admin"
	"github.com/pistachiotack/pistachiotack/internal/claim"
	"github.com/pistachiotack/pistachiotack/internal/entry"
	"github.com/pistachiotack/pistachiotack/internal/exec"
	"github.com/pistachiotack/pistachiotack/internal/gossip"
	"github.com/pistachiotack/pistachiotack/internal/holder"
	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/life"
	"github.com/pistachiotack/pistachiotack/internal/meter"
	"github.com/pistachiotack/pistachiotack/internal/peers"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// stopTimeout bounds the time to stop the services after the drain.
const stopTimeout = 2 * time.Second

// Node is one running node.
type Node struct {
	settings    config.Node
	incarnation uint64
	log         *slog.Logger
	entry       *entry.Entry
	exec        *exec.Exec
	admin       *admin.Admin
	control     *peers.Service
	store       *store.Store
	gossip      *gossip.Gossip
	holder      *holder.Holder
	life        *life.Monitor
	snapshot    *tree.Snapshot
	started     *kernel.Started
	stop        func() error
}

// Logs are the log outputs of a node. The decision log has its own writer, to which lines are written in batches.
type Logs struct {
	Log *slog.Logger
	// Decisions receives the decision log, nil for none.
	Decisions io.Writer
}

// DiscardLogs returns Logs that discard all output.
func DiscardLogs() Logs {
	return Logs{Log: slog.New(slog.DiscardHandler)}
}

// Start starts a node, which runs until Stop. The end of the context doesn't stop it.
func Start(ctx context.Context, settings config.Node, snapshot *tree.Snapshot, logs Logs) (*Node, error) {
	ctx = context.WithoutCancel(ctx)
	n := &Node{settings: settings, incarnation: uint64(time.Now().UnixNano()), log: logs.Log, snapshot: snapshot}
	n.store = store.New(store.Options{
		Table:   settings.Platform.Table,
		Objects: settings.Platform.Objects,
		Timeout: settings.Platform.Timeout.Std(),
	})
	k := kernel.New(logs.Log)
	for _, service := range n.services(logs) {
		if err := k.Register(service); err != nil {
			return nil, err
		}
	}
	var err error
	if n.started, err = k.Start(ctx); err != nil {
		return nil, err
	}
	if err = errors.CombineErrors(n.announceWithoutBackend(), n.writeReadyFile()); err != nil {
		return nil, errors.CombineErrors(err, n.started.Stop(ctx))
	}
	n.stop = sync.OnceValue(func() error { return n.drainAndStop(ctx) })
	n.log.LogAttrs(ctx, slog.LevelInfo, "node started",
		slog.String("node", settings.Name),
		slog.String("callers", n.entry.CallersAddress()),
		slog.String("peers", n.exec.Address()),
		slog.String("backend", n.entry.BackendAddress()),
		slog.String("operators", n.admin.Address()),
	)

	return n, nil
}

// announceWithoutBackend announces a node without a backend server as serving. Such a node is an entry node only, and no target of
// forwarded calls.
func (n *Node) announceWithoutBackend() error {
	if n.settings.Backend.Address != "" {
		return nil
	}

	return n.gossip.SetState(member.StateServing)
}

// Wait waits until the context ends, and returns an error if a service of the node ends before.
func (n *Node) Wait(ctx context.Context) error {
	return n.started.Wait(ctx)
}

// Stop refuses new calls, waits for those in progress up to the drain deadline of the policy, and stops the services. Repeated calls
// return the same result.
func (n *Node) Stop() error {
	return n.stop()
}

// drainAndStop announces the node as draining, refuses new calls, waits for those in progress, announces that the node has left, and
// stops the services.
func (n *Node) drainAndStop(ctx context.Context) error {
	policy := n.holder.Snapshot().Policy(n.settings.DataCentre, n.settings.Service, "", "")
	drainCtx, cancel := context.WithTimeout(ctx, policy.DrainDeadline)
	defer cancel()
	if n.life != nil {
		_ = n.life.Stop(ctx)
	}
	err := n.gossip.SetState(member.StateDraining)
	n.exec.SetState(member.StateDraining)
	n.gossip.AwaitPropagation(drainCtx)
	err = errors.CombineErrors(err, n.entry.Leave())
	err = errors.CombineErrors(err, errors.CombineErrors(n.exec.Drain(drainCtx), n.entry.Drain(drainCtx)))
	err = errors.CombineErrors(err, n.gossip.SetState(member.StateLeft))
	stopCtx, cancelStop := context.WithTimeout(ctx, stopTimeout)
	defer cancelStop()

	return errors.CombineErrors(err, n.started.Stop(stopCtx))
}

// Entry returns the membership entry with which other nodes can reach this one.
func (n *Node) Entry() member.Entry {
	return member.Entry{
		ID:          n.settings.Name,
		Incarnation: n.incarnation,
		DataCentre:  n.settings.DataCentre,
		Service:     n.settings.Service,
		State:       member.StateServing,
		Peers:       n.exec.Address(),
		Control:     n.control.Address(),
		Slots:       n.settings.Backend.Slots,
		Connections: n.settings.Backend.Connections,
	}
}

// AddMembers adds members as if another node had reported them by gossip.
func (n *Node) AddMembers(entries []member.Entry) {
	n.gossip.AddMembers(entries)
}

// Members returns the nodes of a service according to this node's view of the membership.
func (n *Node) Members(service string) []member.Entry {
	return n.gossip.Members(service)
}

// Addresses returns the addresses on which the node listens.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers:   n.entry.CallersAddress(),
		Peers:     n.exec.Address(),
		Control:   n.control.Address(),
		Backend:   n.entry.BackendAddress(),
		Operators: n.admin.Address(),
	}
}

// services creates the services, in the order in which they start.
func (n *Node) services(logs Logs) []kernel.Service {
	s := n.settings
	decisions := n.newDecisionLog(logs)
	chooser, retrier := n.newRouting(decisions)
	n.control = peers.New(peers.Options{Listen: s.Listen.Control, Log: n.log})
	n.gossip = n.newGossip()
	n.exec = exec.New(exec.Options{
		Listen:      s.Listen.Peers,
		DataCentre:  s.DataCentre,
		Service:     s.Service,
		Incarnation: n.incarnation,
		Backend:     s.Backend.Address,
		Admitter:    n.newAdmitter(decisions),
	})
	n.entry = entry.New(entry.Options{
		Callers:     s.Listen.Callers,
		Backend:     s.Listen.Backend,
		DataCentre:  s.DataCentre,
		OrphanCalls: s.Backend.OrphanCalls,
		Chooser:     chooser,
		Retrier:     retrier,
	})
	n.holder = holder.New(holder.Options{Node: s.Name, PollInterval: s.Fleet.Poll.Std(), Initial: n.snapshot, Log: n.log})
	n.admin = admin.New(s.Listen.Operators, holder.Name, gossip.Name)
	services := []kernel.Service{
		decisions,
		meter.New(map[string]string{"node": s.Name, "data_centre": s.DataCentre, "target_service": s.Service}),
		n.store,
		claim.NewRecorder(s.Name, n.incarnation),
		n.control,
		n.gossip,
		n.holder,
		n.exec,
		n.entry,
		n.admin,
	}
	if s.Backend.Address != "" {
		n.life = life.New(life.Options{Address: s.Backend.Address, HealthPath: s.Backend.Health, Log: n.log})
		services = append(services, n.life)
	}

	return services
}
