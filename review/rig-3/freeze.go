package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The load of the case: clients of one machine download drawings from another one, and clients of that one book.
const (
	frozenDownloads       = 20
	frozenDownloadsAt     = 2 * time.Second
	frozenDownloadsWithin = 1200 * time.Millisecond
	frozenDrawingBytes    = 20 << 20
	frozenDrawingWork     = 1300 * time.Millisecond
	// frozenBookers is the number of clients that book at the machine beside the drawings' target.
	frozenBookers = 10
	// freezeAt is when the machine of the downloading clients freezes, before the first download is answered, and freezeTime for how long.
	freezeAt   = frozenDownloadsAt + frozenDownloadsWithin
	freezeTime = 4 * time.Second
)

// Machines of the case.
const (
	archiveMachine = iota
	bookingMachine
	frozenMachine
)

// frozenReader freezes a machine whose clients wait for downloads from another machine.
func frozenReader(ctx context.Context, r *recorder, trouble bool) (bool, error) {
	f, err := newFleet(ctx, r, drawingsAndBookings(),
		machineSpec{service: archive, slots: 62, work: fixedWork(frozenDrawingWork, frozenDrawingBytes)},
		machineSpec{service: bookingDesk, slots: 62, work: fixedWork(bookingWork, bookingBytes)},
		machineSpec{service: showroom, slots: 54, work: fixedWork(bookingWork, bookingBytes)})
	defer f.close()
	if err != nil {
		return false, err
	}
	stopWatch := f.enforceMemory(ctx, r)
	start := time.Now()
	counted, others := &ledger{fleet: f, record: r}, &ledger{fleet: f, record: r}
	var clients sync.WaitGroup
	for i := range frozenBookers {
		clients.Go(func() { bookAll(ctx, counted, i, start) })
	}
	for i := range frozenDownloads {
		clients.Go(func() { downloadOnce(ctx, others, i, start) })
	}
	if trouble {
		time.Sleep(time.Until(start.Add(freezeAt)))
		f.machines[frozenMachine].node.signal(syscall.SIGSTOP)
		r.note("%s is frozen", f.machines[frozenMachine].node.name)
		time.Sleep(freezeTime)
		f.machines[frozenMachine].node.signal(syscall.SIGCONT)
		r.note("%s goes on", f.machines[frozenMachine].node.name)
	}
	clients.Wait()
	stopWatch()

	return counted.held(), nil
}

// bookAll books at the archive's machine until the end of the load.
func bookAll(ctx context.Context, l *ledger, i int, start time.Time) {
	c := l.newClient(archiveMachine)
	defer c.close()
	for n := 0; time.Since(start) < loadTime; n++ {
		if !l.do(ctx, c, booking(fmt.Sprintf("b%d.%d", i, n))).served() {
			time.Sleep(bookingWork)
		}
	}
}

// downloadOnce downloads a drawing at the machine that freezes.
func downloadOnce(ctx context.Context, l *ledger, i int, start time.Time) {
	c := l.newClient(frozenMachine)
	defer c.close()
	time.Sleep(time.Until(start.Add(frozenDownloadsAt + frozenDownloadsWithin*time.Duration(i)/frozenDownloads)))
	_ = l.do(ctx, c, call{id: fmt.Sprintf("d%d", i), method: http.MethodGet, host: host, path: "/vykresy/plan", budget: clientTime})
}
