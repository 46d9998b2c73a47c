package main

import (
	"context"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/fault"
)

const (
	// stableTime is stable_window_s of the site.
	stableTime = 3 * time.Second
	// settleTime is the time from the end of the disruption until all machines are in touch again, with a second of reserve.
	settleTime = stableTime + time.Second
	// watchTime is how long the clients go on after the change has to be in force.
	watchTime = 6 * time.Second
)

// playSilent makes all open connections to the store silent for good, and changes the manifest once all machines are in touch again.
func playSilent(ctx context.Context, w *world) ([]string, error) {
	store, err := w.startStore()
	if err != nil {
		return nil, err
	}
	services := []string{serviceShop, serviceDesk, serviceShop, serviceDesk}
	links := make([]*fault.Proxy, len(services))
	for i := range links {
		var closeLink func()
		if links[i], closeLink, err = fault.New(ctx, store.Address()); err != nil {
			return nil, err
		}
		w.cleanup = append(w.cleanup, closeLink)
	}
	pairs, err := w.startPairs(ctx, services, func(index int) string { return links[index].Address() }, nil)
	if err != nil {
		return nil, err
	}
	asking := w.startAsking(ctx, pairs, readRequest)
	if w.trouble {
		for i, link := range links {
			w.record.add("network: the %d open connections of %s to the store go silent, new ones work", link.SilenceOpen(), pairs[i].node.name)
		}
	}
	time.Sleep(settleTime)
	changed, err := w.changeRoute(store, 2, serviceDesk)
	if err != nil {
		return nil, err
	}
	time.Sleep(applyTime + watchTime)

	return findStale(asking.stop(), []change{firstChange(), changed}), nil
}
