package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

const (
	// orders is the number of orders that each of the clients books, one after the other. The clients are divided among the machines.
	orders       = 100
	orderClients = 9
	// spoilEvery makes the target spoil one answer of twenty, 0.05 of them.
	spoilEvery = 20
	// clientRetries is how often a client books an order again after a promise that it was not booked.
	clientRetries = 1
	orderWork     = smuggleWork
	orderBytes    = 100
)

// promises are the statuses by which a node states that a request has not run and never will.
var promises = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// spoiledAnswers books orders at a service of which one target of two spoils some of its answers, and counts the bookings that ran though the client was told that
// they had not.
func spoiledAnswers(ctx context.Context, r *recorder, trouble bool) (bool, error) {
	rules := []stand.Rule{{
		Name: "rezervace", Host: host, Prefix: "/rezervace/", Kind: "non_idempotent", Weights: map[string]float64{bookingDesk: 1},
		Timeout: clientTime, Attempts: 2,
	}}
	f, err := newFleet(ctx, r, rules,
		machineSpec{service: bookingDesk, slots: 62, work: fixedWork(orderWork, orderBytes)},
		machineSpec{service: bookingDesk, slots: 62, work: fixedWork(orderWork, orderBytes)},
		machineSpec{service: showroom, slots: 54, work: fixedWork(orderWork, orderBytes)})
	defer f.close()
	if err != nil {
		return false, err
	}
	if trouble {
		f.machines[0].target.spoilEvery = spoilEvery
	}
	l := &ledger{fleet: f, record: r}
	var refused, twice atomic.Int64
	var clients sync.WaitGroup
	for i := range orderClients {
		clients.Go(func() {
			for n := range orders {
				falsely, booked := l.bookOrder(ctx, l.newClient(i%len(f.machines)), fmt.Sprintf("order%d-%d", i, n))
				refused.Add(int64(falsely))
				if booked > 1 {
					twice.Add(1)
				}
			}
		})
	}
	clients.Wait()
	r.note("%d bookings were answered with a promise that they had not run, and had run; the rule allows none; %d of %d orders were booked twice",
		refused.Load(), twice.Load(), orders*orderClients)

	return refused.Load() == 0, nil
}

// bookOrder books an order as clients do: again, under a new id, after a promise. It returns the number of promises that were false, and how
// often the order was booked.
func (l *ledger) bookOrder(ctx context.Context, c *client, order string) (falsely, booked int) {
	defer c.close()
	for try := range 1 + clientRetries {
		k := booking(fmt.Sprintf("%s.%d", order, try))
		res := l.do(ctx, c, k)
		ran := l.fleet.ran(k.id)
		if ran {
			booked++
		}
		if !promises[res.status] {
			break
		}
		if ran {
			falsely++
		}
	}

	return falsely, booked
}
