package mesh

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

// Options describe a fleet.
type Options struct {
	Services []Service
	Places   []string
	Snapshot *tree.Snapshot
	Seed     uint64
	Log      *slog.Logger
	// Tune changes the settings of each node before it starts, nil for none.
	Tune func(config.Node) config.Node
}

// Target is one backend server with its node.
type Target struct {
	Node    *node.Node
	Backend *fake.Server
	Service string
}

// Mesh is a running fleet.
type Mesh struct {
	Targets []Target
	Ledger  *fake.Ledger

	options Options
	closers []func()
}

// New starts the fleet and returns the function that drains and stops it.
func New(ctx context.Context, options Options) (*Mesh, func(), error) {
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	m := &Mesh{options: options, Ledger: fake.NewLedger()}
	for _, service := range options.Services {
		for i := range service.Targets {
			if err := m.add(ctx, service, i); err != nil {
				m.stop()

				return nil, nil, err
			}
		}
	}
	m.introduce()

	return m, m.stop, nil
}

// Of returns the targets of a service.
func (m *Mesh) Of(service string) []Target {
	var found []Target
	for _, target := range m.Targets {
		if target.Service == service {
			found = append(found, target)
		}
	}

	return found
}

// add starts one backend server and the node beside it.
func (m *Mesh) add(ctx context.Context, service Service, i int) error {
	backend, closeBackend, err := fake.New(ctx, fake.Options{
		Service: service.Name,
		Seed:    m.options.Seed + uint64(len(m.Targets)),
		Routes:  service.Routes,
		Ledger:  m.Ledger,
	}, fake.Behaviour{Slots: service.Slots, Waiting: service.Slots})
	if err != nil {
		return errors.Wrapf(err, "start backend server of %s", service.Name)
	}
	m.closers = append(m.closers, closeBackend)
	place := m.options.Places[i%len(m.options.Places)]
	settings := config.Node{
		Name:       fmt.Sprintf("%s-%s-%d", service.Name, place, i),
		DataCentre: place,
		Service:    service.Name,
		Backend:    config.Backend{Address: backend.Address(), Slots: service.Slots},
	}.WithDefaults()
	if m.options.Tune != nil {
		settings = m.options.Tune(settings)
	}
	started, err := node.Start(ctx, settings, m.options.Snapshot, m.options.Log)
	if err != nil {
		return errors.Wrapf(err, "start node %s", settings.Name)
	}
	backend.SetCaller(fake.NewGateway(started.Addresses().Backend))
	m.Targets = append(m.Targets, Target{Node: started, Backend: backend, Service: service.Name})

	return nil
}

// introduce makes all nodes known to each other.
func (m *Mesh) introduce() {
	entries := make([]member.Entry, 0, len(m.Targets))
	for _, target := range m.Targets {
		entries = append(entries, target.Node.Entry())
	}
	for _, target := range m.Targets {
		target.Node.SetMembers(entries)
	}
}

func (m *Mesh) stop() {
	for _, target := range m.Targets {
		_ = target.Node.Stop()
	}
	for _, closeBackend := range m.closers {
		closeBackend()
	}
}
