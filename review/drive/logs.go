package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// fillTime is the time from the pause of the collector to the leaving of the target, in which decisions fill the pipe.
	fillTime = 8 * time.Second
	// logClients is the number of clients beside the machine; together they send about as many reads as all clients of the site.
	logClients = 36
	// readWork is the mean of the site for reads.
	readWork = 220 * time.Millisecond
	// exitAfter is how long the target serves on after its deregistration.
	exitAfter = 4 * time.Second
	// hangTime is how long the clients go on after that.
	hangTime = 8 * time.Second
	// lateAfter, minLate and lateShare are those of the rule.
	lateAfter = 500 * time.Millisecond
	minLate   = 8
	lateShare = 0.25
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

// playLogs lets a target leave and end. With trouble the collector of the log of the node beside it pauses before.
func playLogs(ctx context.Context, w *world) ([]string, error) {
	store, err := w.startStore()
	if err != nil {
		return nil, err
	}
	c := &collector{}
	services := []string{serviceShop, serviceDesk, serviceShop}
	pairs, err := w.startPairs(ctx, services, func(int) string { return store.Address() }, func(index int, p *pair) error {
		if index > 0 {
			return nil
		}

		return c.collect(p.node)
	})
	if err != nil {
		return nil, err
	}
	leaving := pairs[0]
	asking := w.startAsking(ctx, slices.Repeat(pairs[:1], logClients/clientsPerNode), usualRead)
	if w.trouble {
		c.paused.Store(true)
		w.record.add("platform: the collector of the log of %s pauses", leaving.node.name)
	}
	time.Sleep(fillTime)
	leaving.leave()
	leftAt := time.Now()
	w.record.add("target %s leaves, acknowledged with status %d", leaving.id, leaving.send(ctx, leaving.node.ports.Control, nil))
	time.Sleep(time.Until(leftAt.Add(exitAfter)))
	w.record.add("target %s ends", leaving.id)
	leaving.end()
	time.Sleep(hangTime)
	answers := asking.stop()
	c.paused.Store(false)

	return findLate(answers, leftAt), nil
}

// usualRead is a read with the usual work.
func usualRead(id string) ask {
	request := readRequest(id)
	request.work = readWork

	return request
}

// findLate returns the requests that ended after the given time and had no answer lateAfter after their route's timeout, if there are so many of
// those that had none at the timeout that the rule is broken.
func findLate(answers <-chan answer, from time.Time) []string {
	var late []string
	unanswered := 0
	for a := range answers {
		took := a.endAt.Sub(a.sentAt)
		if a.endAt.Before(from) || took < readTimeout {
			continue
		}
		unanswered++
		if took > readTimeout+lateAfter {
			late = append(late, fmt.Sprintf("%s, sent to %s, had no answer %.2f s later: %v", a.ask.id, a.node, took.Seconds(), a.err))
		}
	}
	if len(late) < minLate || float64(len(late)) <= lateShare*float64(unanswered) {
		return nil
	}

	return late
}
