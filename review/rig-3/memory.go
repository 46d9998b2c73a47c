package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// The load of the case: members download drawings while others book.
const (
	// downloads is the number of clients that ask for a drawing, one each, within downloadsWithin from downloadsAt on. Each books once
	// before, within warmUpTime.
	downloads       = 28
	downloadsAt     = 2 * time.Second
	downloadsWithin = 1200 * time.Millisecond
	warmUpTime      = time.Second
	// drawingBytes is the size of a drawing, and slowRate what a slow client reads of it in bytes per second.
	drawingBytes = 16 << 20
	slowRate     = 4 << 20
	// bookers is the number of clients that book, one booking after the other until the end of the load.
	bookers      = 2
	loadTime     = 8 * time.Second
	clientTime   = 6 * time.Second
	bookingWork  = 290 * time.Millisecond
	drawingWork  = 1300 * time.Millisecond
	bookingBytes = 5000
)

// slowReaders lets the clients of one machine read large downloads slowly, and ends a process that takes more memory than its machine has.
func slowReaders(ctx context.Context, r *recorder, trouble bool) (bool, error) {
	drawing := fixedWork(drawingWork, drawingBytes)
	f, err := newFleet(ctx, r, drawingsAndBookings(),
		machineSpec{service: archive, slots: 62, work: drawing},
		machineSpec{service: archive, slots: 62, work: drawing},
		machineSpec{service: bookingDesk, slots: 62, work: fixedWork(bookingWork, bookingBytes)},
		machineSpec{service: showroom, slots: 54, work: fixedWork(bookingWork, bookingBytes)})
	defer f.close()
	if err != nil {
		return false, err
	}
	stopWatch := f.enforceMemory(ctx, r)
	load := &memoryLoad{ledger: &ledger{fleet: f, record: r}, start: time.Now()}
	if trouble {
		load.rate = slowRate
	}
	load.play(ctx)
	stopWatch()

	return load.held(), nil
}

// memoryLoad is the load that the clients of the last machine make.
type memoryLoad struct {
	*ledger

	start time.Time
	// rate is how many bytes per second a client reads of a drawing, zero for as many as it can.
	rate int
}

func (l *memoryLoad) play(ctx context.Context) {
	var clients sync.WaitGroup
	for i := range downloads {
		clients.Go(func() { l.download(ctx, i) })
	}
	for i := range bookers {
		clients.Go(func() { l.book(ctx, i) })
	}
	clients.Wait()
}

// download books once, so that the connection is a kept one, and then downloads a drawing.
func (l *memoryLoad) download(ctx context.Context, i int) {
	c := l.newClient(len(l.fleet.machines) - 1)
	defer c.close()
	time.Sleep(warmUpTime * time.Duration(i) / downloads)
	_ = l.do(ctx, c, booking(fmt.Sprintf("w%d", i)))
	time.Sleep(time.Until(l.start.Add(downloadsAt + downloadsWithin*time.Duration(i)/downloads)))
	_ = l.do(ctx, c, call{
		id: fmt.Sprintf("d%d", i), method: http.MethodGet, host: host, path: "/vykresy/plan", budget: clientTime, bytesPerSecond: l.rate,
	})
}

// book books until the end of the load.
func (l *memoryLoad) book(ctx context.Context, i int) {
	c := l.newClient(len(l.fleet.machines) - 1)
	defer c.close()
	for n := 0; time.Since(l.start) < loadTime; n++ {
		if !l.do(ctx, c, booking(fmt.Sprintf("b%d.%d", i, n))).served() {
			time.Sleep(bookingWork)
		}
	}
}
