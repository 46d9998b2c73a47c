package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

const (
	// zone is the only zone of the deployments of the cases.
	zone = "jihlava"
	// settleTime is how long a fleet is left alone after all nodes are ready: bounds hold stable_window_s after the start.
	settleTime = 4 * time.Second
)

// machine is a node with the target beside it.
type machine struct {
	node   *node
	target *target
}

// machineSpec describes a machine.
type machineSpec struct {
	service string
	slots   int
	work    func(r *http.Request) (time.Duration, int)
	// wrapper is what starts the node's process, empty for nothing.
	wrapper []string
}

// fleet is a small deployment: the platform's store, and machines with a node and a target each.
type fleet struct {
	folder   string
	store    *stand.Store
	machines []machine
	cleanUps []func()
}

// newFleet starts a deployment with the rules in force, and waits until it has settled. The deployment has to be closed, also after an error.
func newFleet(ctx context.Context, r *recorder, rules []stand.Rule, specs ...machineSpec) (*fleet, error) {
	f := &fleet{}
	folder, err := os.MkdirTemp("", "rig-3-")
	if err != nil {
		return f, err
	}
	f.folder = folder
	f.cleanUps = append(f.cleanUps, func() { _ = os.RemoveAll(folder) })
	store, closeStore := stand.NewStore()
	f.store = store
	f.cleanUps = append(f.cleanUps, closeStore)
	manifest, err := stand.Manifest(1, rules...)
	if err != nil {
		return f, err
	}
	store.Put("op", "config", manifest)
	ctx, cancel := context.WithCancel(ctx)
	f.cleanUps = append(f.cleanUps, cancel)
	for i, spec := range specs {
		if err := f.addMachine(ctx, fmt.Sprintf("sidecar-%s-%d", zone, i+1), spec); err != nil {
			return f, err
		}
	}
	for _, m := range f.machines {
		if err := m.node.waitReady(ctx); err != nil {
			return f, err
		}
	}
	time.Sleep(settleTime)
	r.note("%d machines are up", len(f.machines))

	return f, nil
}

func (f *fleet) addMachine(ctx context.Context, name string, spec machineSpec) error {
	t, err := newTarget(ctx, "i-"+name, spec.service, spec.slots, spec.work)
	if err != nil {
		return err
	}
	f.cleanUps = append(f.cleanUps, t.close)
	n, err := newNode(ctx, f.folder, name, spec.service, t.address(), f.store.Address())
	if err != nil {
		return err
	}
	if err = completeSettings(n.file); err != nil {
		return err
	}
	if err = n.start(spec.wrapper...); err != nil {
		return err
	}
	f.cleanUps = append(f.cleanUps, n.stop)
	f.machines = append(f.machines, machine{node: n, target: t})
	go t.beat(ctx, n.options.Ports.Control)

	return nil
}

// ran reports whether a target ran the request.
func (f *fleet) ran(id string) bool {
	for _, m := range f.machines {
		if _, found := m.target.ran(id); found {
			return true
		}
	}

	return false
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for i := len(f.cleanUps) - 1; i >= 0; i-- {
		f.cleanUps[i]()
	}
}
