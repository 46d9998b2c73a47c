package demo

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/node"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// mesh is a whole example in this process: backend servers, each with its node.
type mesh struct {
	nodes    []*node.Node
	backends []*fake.Server
	closers  []func()
	snapshot *tree.Snapshot
	ledger   *fake.Ledger
}

// newMesh starts the services and returns the function that stops them.
func newMesh(ctx context.Context, settings *tree.Tree, services []serviceShape, places []string, seed uint64) (*mesh, func(), error) {
	m := &mesh{snapshot: tree.NewSnapshot(1, settings), ledger: fake.NewLedger()}
	for _, service := range services {
		for i := range service.targets {
			if err := m.add(ctx, service, places[i%len(places)], i, seed); err != nil {
				m.stop()

				return nil, nil, err
			}
		}
	}
	m.introduce()

	return m, m.stop, nil
}

// add starts one backend server and the node beside it.
func (m *mesh) add(ctx context.Context, service serviceShape, place string, i int, seed uint64) error {
	options := fake.Options{Service: service.name, Seed: seed + uint64(len(m.nodes)), Routes: service.routes, Ledger: m.ledger}
	backend, closeBackend, err := fake.New(ctx, options, fake.Behaviour{Slots: service.slots, Waiting: service.slots})
	if err != nil {
		return errors.Wrapf(err, "start backend server of %s", service.name)
	}
	m.closers = append(m.closers, closeBackend)
	m.backends = append(m.backends, backend)
	settings := config.Node{
		Name:       fmt.Sprintf("%s-%s-%d", service.name, place, i),
		DataCentre: place,
		Service:    service.name,
		Backend:    config.Backend{Address: backend.Address(), Slots: service.slots},
	}.WithDefaults()
	started, err := node.Start(ctx, settings, m.snapshot, slog.New(slog.DiscardHandler))
	if err != nil {
		return errors.Wrapf(err, "start node %s", settings.Name)
	}
	m.nodes = append(m.nodes, started)

	return nil
}

// introduce makes all nodes known to each other.
func (m *mesh) introduce() {
	entries := make([]member.Entry, 0, len(m.nodes))
	for _, each := range m.nodes {
		entries = append(entries, each.Entry())
	}
	for _, each := range m.nodes {
		each.SetMembers(entries)
	}
}

func (m *mesh) stop() {
	for _, each := range m.nodes {
		_ = each.Stop(context.Background())
	}
	for _, closeBackend := range m.closers {
		closeBackend()
	}
}
