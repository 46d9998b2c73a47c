package mesh

import (
	"context"
	"log/slog"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/load"
	"github.com/pistachiotack/pistachiotack/internal/node"
	"github.com/pistachiotack/pistachiotack/internal/plat"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Options describe a fleet.
type Options struct {
	Example  load.Example
	Snapshot *tree.Snapshot
	Seed     uint64
	Log      *slog.Logger
}

// Mesh is a running fleet with its platform and its backend servers.
type Mesh struct {
	Nodes    []*node.Node
	Backends []*load.Backend
	Ledger   *fake.Ledger
	Platform *plat.Platform

	options Options
	closers []func()
}

// New starts the fleet and returns the function that drains and stops it.
func New(ctx context.Context, options Options) (*Mesh, func(), error) {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	m := &Mesh{options: options, Ledger: fake.NewLedger()}
	if err := m.start(ctx); err != nil {
		m.stop()

		return nil, nil, err
	}
	m.introduce()

	return m, m.stop, nil
}

// Entries returns the callers' addresses of all nodes.
func (m *Mesh) Entries() load.Entries {
	var entries load.Entries
	for _, each := range m.Nodes {
		entries = append(entries, each.Addresses().Callers)
	}

	return entries
}

func (m *Mesh) start(ctx context.Context) error {
	platform, closePlatform, err := plat.New(ctx, "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "start platform stand-in")
	}
	m.Platform = platform
	m.closers = append(m.closers, closePlatform)
	backends, closeBackends, err := load.StartBackends(ctx, m.options.Example, m.Ledger, m.options.Seed)
	if err != nil {
		return errors.Wrap(err, "start backend servers")
	}
	m.Backends = backends
	m.closers = append(m.closers, closeBackends)
	for _, backend := range backends {
		if err := m.add(ctx, backend); err != nil {
			return err
		}
	}

	return nil
}

// add starts the node beside one backend server.
func (m *Mesh) add(ctx context.Context, backend *load.Backend) error {
	example := m.options.Example
	settings := config.Node{
		Name:       backend.Name,
		DataCentre: backend.DataCentre,
		Service:    backend.Service.Name,
		Backend: config.Backend{
			Address:     backend.Server.Address(),
			Slots:       example.Slots(backend.Service),
			Connections: backend.Service.Connections,
		},
		Platform: config.Platform{Table: m.Platform.Address(), Objects: m.Platform.Address()},
	}.WithDefaults()
	started, err := node.Start(ctx, settings, m.options.Snapshot, node.Logs{Log: m.options.Log})
	if err != nil {
		return errors.Wrapf(err, "start node %s", settings.Name)
	}
	backend.Server.SetCaller(fake.NewGateway(started.Addresses().Backend))
	m.Nodes = append(m.Nodes, started)

	return nil
}

// introduce makes all nodes known to each other.
func (m *Mesh) introduce() {
	entries := make([]member.Entry, 0, len(m.Nodes))
	for _, each := range m.Nodes {
		entries = append(entries, each.Entry())
	}
	for _, each := range m.Nodes {
		each.AddMembers(entries)
	}
}

func (m *Mesh) stop() {
	var stops errgroup.Group
	for _, each := range m.Nodes {
		stops.Go(each.Stop)
	}
	_ = stops.Wait()
	for i := len(m.closers) - 1; i >= 0; i-- {
		m.closers[i]()
	}
}
