package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

// The load of the case: a client asks again and again on one route.
const (
	askCount    = 40
	askInterval = 50 * time.Millisecond
	askWork     = 55 * time.Millisecond
	askBytes    = 500
	// methodUsual and methodReport are the methods of the requests without and with the disruption.
	methodUsual  = http.MethodGet
	methodReport = "REPORT"
	// maxDenied and allRequestsPerDenied are the bounds of the rule DENIED.
	maxDenied            = 5
	allRequestsPerDenied = 500
)

// unusualMethod asks with a method of HTTP that is neither GET nor POST, and counts the refusals that no target has signed.
func unusualMethod(ctx context.Context, r *recorder, trouble bool) (bool, error) {
	rules := []stand.Rule{{
		Name: "terminy", Host: host, Prefix: "/terminy/", Kind: "idempotent", Weights: map[string]float64{"kalendar": 1}, Timeout: clientTime, Attempts: 2,
	}}
	f, err := newFleet(ctx, r, rules,
		machineSpec{service: "kalendar", slots: 26, work: fixedWork(askWork, askBytes)},
		machineSpec{service: showroom, slots: 54, work: fixedWork(askWork, askBytes)})
	defer f.close()
	if err != nil {
		return false, err
	}
	method := methodUsual
	if trouble {
		method = methodReport
	}
	denied := 0
	l := &ledger{fleet: f, record: r}
	for i := range askCount {
		c := l.newClient(i % len(f.machines))
		k := call{id: fmt.Sprintf("q%d", i), method: method, host: host, path: "/terminy/leto", body: "from=5&to=9", budget: clientTime}
		res := c.do(ctx, k)
		c.close()
		r.note("%s %s %s, ran %t: %s", k.id, k.method, k.path, f.ran(k.id), res)
		if res.status >= http.StatusMultipleChoices && res.status < http.StatusInternalServerError && !f.ran(k.id) {
			denied++
		}
		time.Sleep(askInterval)
	}
	r.note("%d of %d requests ended with a 3xx or 4xx of the node's own; the rule allows %d", denied, askCount, maxDenied)

	return denied <= maxDenied+askCount/allRequestsPerDenied, nil
}
