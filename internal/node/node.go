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

// stopTimeout bounds the stop of the services after the drain.
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
	life        *life.Life
	snapshot    *tree.Snapshot
	started     *kernel.Started
	stop        func() error
}

// Logs are where a node writes; the decision log has a writer of its own, so that many lines go out at once.
type Logs struct {
	Log *slog.Logger
	// Decisions may be nil for none.
	Decisions io.Writer
}

// DiscardLogs returns logs that go nowhere.
func DiscardLogs() Logs {
	return Logs{Log: slog.New(slog.DiscardHandler)}
}

// Start builds and starts a node; it runs until Stop.
func Start(ctx context.Context, settings config.Node, snapshot *tree.Snapshot, logs Logs) (*Node, error) {
	ctx = context.WithoutCancel(ctx)
	n := &Node{settings: settings, incarnation: uint64(time.Now().UnixNano()), log: logs.Log, snapshot: snapshot}
	var err error
	if n.store, err = store.New(store.Options{
		Table:   settings.Platform.Table,
		Objects: settings.Platform.Objects,
		Timeout: settings.Platform.Timeout.Std(),
	}); err != nil {
		return nil, err
	}
	k := kernel.New(logs.Log)
	for _, service := range n.services(logs) {
		if err := k.Register(service); err != nil {
			return nil, err
		}
	}
	if n.started, err = k.Start(ctx); err != nil {
		return nil, err
	}
	if err = errors.CombineErrors(n.serveAlone(), n.announce()); err != nil {
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

// serveAlone announces a node without a backend server, which serves as an entry and takes no forwarded calls.
func (n *Node) serveAlone() error {
	if n.settings.Backend.Address != "" {
		return nil
	}

	return n.gossip.SetState(member.StateServing)
}

// Wait returns when the context ends, or with an error when a service of the node ends.
func (n *Node) Wait(ctx context.Context) error {
	return n.started.Wait(ctx)
}

// Stop refuses new calls, waits for those in flight and then ends the services; further calls return the same.
func (n *Node) Stop() error {
	return n.stop()
}

func (n *Node) drainAndStop(ctx context.Context) error {
	policy := n.holder.Snapshot().Policy(n.settings.DataCentre, n.settings.Service, "", "")
	drain, cancel := context.WithTimeout(ctx, policy.DrainDeadline)
	defer cancel()
	if n.life != nil {
		_ = n.life.Stop(ctx)
	}
	err := n.gossip.SetState(member.StateDraining)
	n.exec.SetState(member.StateDraining)
	n.gossip.Flush(drain)
	err = errors.CombineErrors(err, n.entry.Leave())
	err = errors.CombineErrors(err, errors.CombineErrors(n.exec.Drain(drain), n.entry.Drain(drain)))
	err = errors.CombineErrors(err, n.gossip.SetState(member.StateLeft))
	stop, cancelStop := context.WithTimeout(ctx, stopTimeout)
	defer cancelStop()

	return errors.CombineErrors(err, n.started.Stop(stop))
}

// Entry returns what other nodes need to know of this one.
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

// Introduce names members, as another node would.
func (n *Node) Introduce(entries []member.Entry) {
	n.gossip.Introduce(entries)
}

// Members returns the nodes of a service as this node sees them.
func (n *Node) Members(service string) []member.Entry {
	return n.gossip.Members(service)
}

// Addresses returns what the node listens on.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers:   n.entry.CallersAddress(),
		Peers:     n.exec.Address(),
		Control:   n.control.Address(),
		Backend:   n.entry.BackendAddress(),
		Operators: n.admin.Address(),
	}
}

// services returns the services in the order in which they start.
func (n *Node) services(logs Logs) []kernel.Service {
	s := n.settings
	decisions := n.decisions(logs)
	chooser, retrier := n.routing(decisions)
	n.control = peers.New(peers.Options{Listen: s.Listen.Control, Log: n.log})
	n.gossip = n.newGossip()
	n.exec = exec.New(exec.Options{
		Listen:      s.Listen.Peers,
		DataCentre:  s.DataCentre,
		Service:     s.Service,
		Incarnation: n.incarnation,
		Backend:     s.Backend.Address,
		Admitter:    n.admitter(decisions),
	})
	n.entry = entry.New(entry.Options{
		Callers:     s.Listen.Callers,
		Backend:     s.Listen.Backend,
		DataCentre:  s.DataCentre,
		OrphanCalls: s.Backend.OrphanCalls,
		Chooser:     chooser,
		Retrier:     retrier,
	})
	n.holder = holder.New(holder.Options{Node: s.Name, Poll: s.Fleet.Poll.Std(), Initial: n.snapshot, Log: n.log})
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
		n.life = life.New(life.Options{Address: s.Backend.Address, Health: s.Backend.Health, Log: n.log})
		services = append(services, n.life)
	}

	return services
}
