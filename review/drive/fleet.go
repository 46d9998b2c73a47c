package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

// Names of the small deployments.
const (
	serviceShop = "vitrina"
	serviceDesk = "pokladna"
	hostName    = "nony93.example"
	readPath    = "/puje670/"
	bookPath    = "/wude451/"
	drawPath    = "/cufi502/"
)

// readTimeout and bookTimeout are timeout_s of the two routes, as on the site.
const (
	readTimeout = 1200 * time.Millisecond
	bookTimeout = 1500 * time.Millisecond
)

// readyWait is how long the nodes may take to get ready.
const readyWait = 10 * time.Second

// rules are the routes of the deployments; reading goes to the given service.
func rules(reads string) []stand.Rule {
	return []stand.Rule{
		{
			Name: "katalog", Host: hostName, Prefix: readPath, Kind: "idempotent", Weights: map[string]float64{reads: 1},
			Timeout: readTimeout, Attempts: 2, Priority: 2,
		},
		{
			Name: "rezervace", Host: hostName, Prefix: bookPath, Kind: "non_idempotent", Weights: map[string]float64{serviceDesk: 1},
			Timeout: bookTimeout, Attempts: 2, Priority: 0,
		},
	}
}

// startStore starts the platform's store with a first manifest.
func (w *world) startStore() (*stand.Store, error) {
	store, closeStore := stand.NewStore()
	w.cleanup = append(w.cleanup, closeStore)
	manifest, err := stand.Manifest(1, rules(serviceShop)...)
	if err != nil {
		return nil, err
	}
	store.Put("op", "config", manifest)

	return store, nil
}

// pair is a target with the node beside it.
type pair struct {
	*target
	node *node
}

// preparePair starts a target, and prepares the node beside it.
func (w *world) preparePair(ctx context.Context, index int, service, store string) (*pair, error) {
	t, err := newTarget(ctx, w.record, fmt.Sprintf("i-%s-%d", service, index), service, "")
	if err != nil {
		return nil, err
	}
	w.cleanup = append(w.cleanup, t.end)
	n, err := w.addNode(ctx, fmt.Sprintf("sidecar-%s-%d", zone, index), service, t.address, store)
	if err != nil {
		return nil, err
	}

	return &pair{target: t, node: n}, nil
}

// startPairs starts a pair of each service and its heartbeats, and waits until all are ready. The function storeOf returns the address at
// which the node with the index finds the store, and prepare is called before the node is started; it may be nil.
func (w *world) startPairs(
	ctx context.Context, services []string, storeOf func(index int) string, prepare func(index int, p *pair) error,
) ([]*pair, error) {
	var pairs []*pair
	for i, service := range services {
		p, err := w.preparePair(ctx, i+1, service, storeOf(i))
		if err != nil {
			return nil, err
		}
		if prepare != nil {
			if err := prepare(i, p); err != nil {
				return nil, err
			}
		}
		if err := p.node.start(); err != nil {
			return nil, err
		}
		go p.beat(ctx, p.node.ports.Control)
		pairs = append(pairs, p)
	}

	return pairs, awaitFleet(pairs)
}

// awaitFleet waits until all nodes are ready and have had two heartbeats of their targets.
func awaitFleet(pairs []*pair) error {
	for _, p := range pairs {
		if err := p.node.waitReady(readyWait); err != nil {
			return err
		}
	}
	time.Sleep(2 * heartbeatInterval)

	return nil
}
