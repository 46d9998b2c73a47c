package procs

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/load"
	"github.com/pistachiotack/pistachiotack/internal/plat"
	"github.com/pistachiotack/pistachiotack/pkg/config"
)

const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 5 * time.Second
	// hostNets and fleetNets spread the fleets of test processes over the loopback net.
	hostNets  = 200
	firstNet  = 100
	fleetNets = 150
)

// fleets counts the fleets of this process, each of which has a net of its own.
var fleets atomic.Int32

// PolicyNone is a fleet without nodes: callers and backend servers choose targets and retry themselves.
const PolicyNone = "none"

// Options describe a fleet of nodes beside the backend servers of an example.
type Options struct {
	Example load.Example
	Seed    uint64
	Binary  string
	// Directory takes settings and logs.
	Directory string
	// Policy is one of the node's, or PolicyNone.
	Policy string
	// Tree is the file of the settings tree that the nodes begin with, empty for none.
	Tree string
	// Linked puts fault proxies between the nodes, so that links can be cut.
	Linked bool
	// Change edits the settings of a node before it starts, nil for none.
	Change func(*config.Node)
}

// Member is one backend server with its node, which is nil without a layer.
type Member struct {
	Backend *load.Backend
	Node    *Process
}

// Fleet is a running fleet.
type Fleet struct {
	options Options
	Members []*Member
	Ledger  *fake.Ledger
	// Platform is the table service and object store, nil without nodes.
	Platform *plat.Platform

	direct load.Direct
	net    int32
	links  *Links

	closePlatform func()
	mu            sync.RWMutex
	entries       []string
}

// Start starts backend servers and nodes, and returns when all nodes are ready; the clean-up ends them.
func Start(ctx context.Context, options Options) (*Fleet, func(), error) {
	f := &Fleet{options: options, Ledger: fake.NewLedger(), net: firstNet + fleets.Add(1)%fleetNets, closePlatform: func() {}}
	backends, closeBackends, err := load.StartBackends(ctx, options.Example, f.Ledger, options.Seed)
	if err != nil {
		return nil, nil, err
	}
	clean := func() {
		f.stop()
		f.links.close()
		f.closePlatform()
		closeBackends()
	}
	for _, backend := range backends {
		f.Members = append(f.Members, &Member{Backend: backend})
	}
	if options.Policy == PolicyNone {
		f.direct = load.NewDirect(backends)

		return f, clean, nil
	}
	if err = f.startNodes(ctx); err != nil {
		clean()

		return nil, nil, err
	}

	return f, clean, nil
}

// settings makes the settings of all nodes, each of which knows the others' addresses.
func (f *Fleet) settings(ctx context.Context) ([]config.Node, error) {
	nodes := make([]config.Node, 0, len(f.Members))
	var targets []config.Target
	for i, member := range f.Members {
		node, err := f.node(i, member.Backend)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
		targets = append(targets, config.Target{
			Name: node.Name, DataCentre: node.DataCentre, Service: node.Service,
			Peers: node.Listen.Peers, Control: node.Listen.Control,
		})
	}
	if err := f.links.connect(ctx, targets); err != nil {
		return nil, err
	}
	for i := range nodes {
		nodes[i].Fleet.Targets = f.links.seenFrom(nodes[i].DataCentre, targets)
		if f.options.Change != nil {
			f.options.Change(&nodes[i])
		}
	}

	return nodes, nil
}

func (f *Fleet) node(number int, backend *load.Backend) (config.Node, error) {
	listen := config.Listen{}
	host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%hostNets, f.net, number+1)
	if err := Reserve(host, &listen.Callers, &listen.Peers, &listen.Control, &listen.Backend, &listen.Operators); err != nil {
		return config.Node{}, err
	}

	return config.Node{
		Name: backend.Name, DataCentre: backend.DataCentre, Service: backend.Service.Name, Listen: listen, Policy: f.options.Policy, Tree: f.options.Tree,
		Platform: config.Platform{Table: f.Platform.Address(), Objects: f.Platform.Address()},
		Backend: config.Backend{
			Address:     backend.Server.Address(),
			Slots:       f.options.Example.Slots(backend.Service),
			Connections: backend.Service.Connections,
		},
	}, nil
}

// Reserve finds free addresses on a host that no outgoing connection uses, so that a restarted node finds them free.
func Reserve(host string, addresses ...*string) error {
	for _, address := range addresses {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return errors.Wrapf(err, "reserve a port on %s", host)
		}
		defer func() { _ = listener.Close() }()
		*address = listener.Addr().String()
	}

	return nil
}

func (f *Fleet) startNodes(ctx context.Context) error {
	if f.options.Linked {
		f.links = newLinks(f.options.Example.DataCentres)
	}
	var err error
	if f.Platform, f.closePlatform, err = plat.New(ctx, "127.0.0.1:0"); err != nil {
		return err
	}
	settings, err := f.settings(ctx)
	if err != nil {
		return err
	}
	for i, member := range f.Members {
		if member.Node, err = StartProcess(ctx, f.options.Binary, f.options.Directory, settings[i]); err != nil {
			return err
		}
		member.Backend.Server.SetCaller(fake.NewGateway(settings[i].Listen.Backend))
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, member := range f.Members {
		if err := member.Node.Ready(ctx); err != nil {
			return err
		}
	}
	f.SetEntries(f.Members)

	return nil
}

// SetEntries names the nodes that callers use.
func (f *Fleet) SetEntries(members []*Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = nil
	for _, member := range members {
		f.entries = append(f.entries, member.Node.Settings().Listen.Callers)
	}
}

// Entry returns the callers' address of one node, or a backend server's if there are no nodes.
func (f *Fleet) Entry(service string, number uint64) string {
	if f.options.Policy == PolicyNone {
		return f.direct.Entry(service, number)
	}
	f.mu.RLock()
	defer f.mu.RUnlock()

	return f.entries[number%uint64(len(f.entries))]
}

// Of returns the members of a service.
func (f *Fleet) Of(service string) []*Member {
	var members []*Member
	for _, member := range f.Members {
		if member.Backend.Service.Name == service {
			members = append(members, member)
		}
	}

	return members
}

// In returns the members of a data centre.
func (f *Fleet) In(dataCentre string) []*Member {
	var members []*Member
	for _, member := range f.Members {
		if member.Backend.DataCentre == dataCentre {
			members = append(members, member)
		}
	}

	return members
}

// Links returns the proxies between the nodes, nil if the fleet is not linked.
func (f *Fleet) Links() *Links {
	return f.links
}

// Trail returns what the nodes logged about an operation.
func (f *Fleet) Trail(operation string) string {
	var lines []string
	for _, member := range f.Members {
		for line := range strings.Lines(member.Node.log()) {
			if strings.Contains(line, operation) {
				lines = append(lines, line)
			}
		}
	}
	slices.Sort(lines)

	return strings.Join(lines, "")
}

// stop ends the nodes that still run, gracefully if they can.
func (f *Fleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var running []*Member
	for _, member := range f.Members {
		if member.Node == nil {
			continue
		}
		running = append(running, member)
		_ = member.Node.Resume()
		_ = member.Node.Terminate()
	}
	for _, member := range running {
		_ = member.Node.Wait(ctx)
		if member.Node.Running() {
			_ = member.Node.Kill()
		}
	}
}
