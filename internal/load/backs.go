package load

import (
	"context"
	"fmt"

	"github.com/pistachiotack/pistachiotack/internal/fake"
)

// Backend is one backend server stand-in of an example.
type Backend struct {
	Name       string
	DataCentre string
	Service    Service
	Server     *fake.Server
	Close      func()
}

// StartBackends starts all backend servers of an example, with one ledger; the clean-up closes them.
func StartBackends(ctx context.Context, example Example, ledger *fake.Ledger, seed uint64) ([]*Backend, func(), error) {
	var backends []*Backend
	clean := func() {
		for _, backend := range backends {
			backend.Close()
		}
	}
	for _, service := range example.Services {
		for i := range service.Targets {
			backend := &Backend{
				Name:       fmt.Sprintf("%s-%d", service.Name, i+1),
				DataCentre: example.DataCentres[i%len(example.DataCentres)],
				Service:    service,
			}
			if err := backend.start(ctx, example, ledger, seed+uint64(len(backends)), "", example.Behaviour(service)); err != nil {
				clean()

				return nil, nil, err
			}
			backends = append(backends, backend)
		}
	}

	return backends, clean, nil
}

func (b *Backend) start(ctx context.Context, example Example, ledger *fake.Ledger, seed uint64, address string, behaviour fake.Behaviour) error {
	options := fake.Options{
		Service: b.Service.Name, Seed: seed, Routes: example.Routes(b.Service.Name), Ledger: ledger, Address: address,
	}
	var err error
	b.Server, b.Close, err = fake.New(ctx, options, behaviour)

	return err
}

// Replace closes the server and starts a cold one with the same address and way out.
func (b *Backend) Replace(ctx context.Context, example Example, seed uint64, change func(*fake.Behaviour)) error {
	old := b.Server
	behaviour := example.Behaviour(b.Service)
	change(&behaviour)
	b.Close()
	if err := b.start(ctx, example, old.Ledger(), seed, old.Address(), behaviour); err != nil {
		return err
	}
	b.Server.SetCaller(old.Caller())

	return nil
}

// Direct is the way without any layer: callers and backend servers pick targets in turn and retry themselves.
type Direct struct {
	*fake.Naive
}

// NewDirect connects the backend servers with each other by naive clients.
func NewDirect(backends []*Backend) Direct {
	naive := fake.NewNaive(NaiveTimeout, naiveRetries)
	addresses := map[string][]string{}
	for _, backend := range backends {
		addresses[backend.Service.Name] = append(addresses[backend.Service.Name], backend.Server.Address())
		backend.Server.SetCaller(naive)
	}
	for service, list := range addresses {
		naive.SetTargets(service, list)
	}

	return Direct{Naive: naive}
}

// Entry returns the next backend server of the service.
func (d Direct) Entry(service string, _ uint64) string {
	return d.Pick(service)
}
