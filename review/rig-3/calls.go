package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

// The load of the case: the target of bookings makes calls to the archive through the node beside it, and clients of its machine browse.
const (
	// callers is the number of runs at the target that make calls at the same time. Each makes usualCalls calls before the one that it
	// reads slowly, so that the node knows their size and their origin. The calls of the runs begin within callersWithin.
	callers       = 25
	callersWithin = 2500 * time.Millisecond
	usualCalls    = 2
	slowCallsAt   = 3500 * time.Millisecond
	callBytes     = 16 << 20
	// callRate is what the target reads of a response to its slow calls in bytes per second.
	callRate = 3 << 20
	callWork = 15 * time.Millisecond
	// browsers is the number of clients that browse at the machine of the calls, one request after the other until the end of the load.
	browsers    = 5
	browseTime  = 8 * time.Second
	browseWork  = 220 * time.Millisecond
	browseBytes = 5000
)

// slowCallers lets a target read the responses to its calls slowly, and ends a process that takes more memory than its machine has.
func slowCallers(ctx context.Context, r *recorder, trouble bool) (bool, error) {
	rules := []stand.Rule{
		{
			Name: "sklad-vykresu", Host: host, Prefix: "/sklad/", Kind: "idempotent", Weights: map[string]float64{archive: 1},
			Timeout: clientTime, Attempts: 2, Priority: 2,
		},
		{
			Name: "katalog", Host: host, Prefix: "/katalog/", Kind: "idempotent", Weights: map[string]float64{showroom: 1},
			Timeout: clientTime, Attempts: 2,
		},
	}
	f, err := newFleet(ctx, r, rules,
		machineSpec{service: archive, slots: 62, work: fixedWork(callWork, callBytes)},
		machineSpec{service: showroom, slots: 54, work: fixedWork(browseWork, browseBytes)},
		machineSpec{service: "kalendar", slots: 26, work: fixedWork(browseWork, browseBytes)},
		machineSpec{service: bookingDesk, slots: 62, work: fixedWork(browseWork, browseBytes)})
	defer f.close()
	if err != nil {
		return false, err
	}
	stopWatch := f.enforceMemory(ctx, r)
	rate := 0
	if trouble {
		rate = callRate
	}
	l := &ledger{fleet: f, record: r}
	var users sync.WaitGroup
	start := time.Now()
	for i := range callers {
		users.Go(func() { makeCalls(ctx, l, i, start, rate) })
	}
	for i := range browsers {
		users.Go(func() { browse(ctx, l, i, start) })
	}
	users.Wait()
	stopWatch()

	return l.held(), nil
}

// makeCalls makes the calls of one run of the target, on one connection.
func makeCalls(ctx context.Context, l *ledger, i int, start time.Time, rate int) {
	c := l.newClient(len(l.fleet.machines) - 1)
	defer c.close()
	offset := callersWithin * time.Duration(i) / callers
	time.Sleep(offset)
	for n := range usualCalls {
		_ = l.do(ctx, c, archiveCall(fmt.Sprintf("u%d.%d", i, n), 0))
	}
	time.Sleep(time.Until(start.Add(slowCallsAt + offset)))
	_ = l.do(ctx, c, archiveCall(fmt.Sprintf("c%d", i), rate))
}

// archiveCall returns a call of the target to the archive.
func archiveCall(id string, bytesPerSecond int) call {
	return call{id: id, method: http.MethodGet, host: host, path: "/sklad/plan", budget: clientTime, bytesPerSecond: bytesPerSecond}
}

// browse asks one request after the other at the machine of the calls, until the end of the load.
func browse(ctx context.Context, l *ledger, i int, start time.Time) {
	c := l.newClient(len(l.fleet.machines) - 1)
	defer c.close()
	for n := 0; time.Since(start) < browseTime; n++ {
		k := call{id: fmt.Sprintf("k%d.%d", i, n), method: http.MethodGet, host: host, path: "/katalog/stany", budget: clientTime}
		if !l.do(ctx, c, k).served() {
			time.Sleep(browseWork)
		}
	}
}
