package main

import (
	"context"
	"io"
	"os"
	"sync/atomic"
	"time"
)

const (
	// fillTime is the time from the pause of the collector to the first change, in which decisions fill the pipe.
	fillTime = 14 * time.Second
	// changeGap is the time between two changes of the manifest.
	changeGap = 7 * time.Second
)

// collector reads the log of a process from a pipe, and may pause.
type collector struct {
	paused atomic.Bool
}

// collect lets the node write to a pipe that the collector reads into the node's log file.
func (c *collector) collect(n *node) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	file := n.output
	n.output = writer
	go c.run(reader, file)

	return nil
}

func (c *collector) run(from io.Reader, to io.Writer) {
	buffer := make([]byte, 4<<10)
	for {
		for c.paused.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// playLogs changes the manifest while the collector of one node's log pauses.
func playLogs(ctx context.Context, w *world) ([]string, error) {
	store, err := w.startStore()
	if err != nil {
		return nil, err
	}
	c := &collector{}
	services := []string{serviceShop, serviceDesk, serviceShop, serviceDesk}
	pairs, err := w.startPairs(ctx, services, func(int) string { return store.Address() }, func(index int, p *pair) error {
		if index > 0 {
			return nil
		}

		return c.collect(p.node)
	})
	if err != nil {
		return nil, err
	}
	asking := w.startAsking(ctx, pairs, readRequest)
	if w.trouble {
		c.paused.Store(true)
		w.record.add("platform: the collector of the log of %s pauses", pairs[0].node.name)
	}
	time.Sleep(fillTime)
	changes := []change{firstChange()}
	for i, service := range []string{serviceDesk, serviceShop} {
		changed, err := w.changeRoute(store, i+2, service)
		if err != nil {
			return nil, err
		}
		changes = append(changes, changed)
		time.Sleep(changeGap)
	}
	answers := asking.stop()
	c.paused.Store(false)

	return findStale(answers, changes), nil
}
