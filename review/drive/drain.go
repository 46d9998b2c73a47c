package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// drainTime is drain_s of the site.
	drainTime = 2 * time.Second
	// beatDelay is how late one heartbeat arrives.
	beatDelay = 4500 * time.Millisecond
	// killAfter is the time from the acknowledgement to the kill of the process, and downTime that to its next start.
	killAfter = 200 * time.Millisecond
	downTime  = 500 * time.Millisecond
	// turnedAwayTime is how long the store turns the machine away.
	turnedAwayTime = time.Second
	// serveOn is how long the leaving target serves after its acknowledgement.
	serveOn = 10 * time.Second
	// calmAfter is the time from the acknowledgement until all machines are in touch again.
	calmAfter = killAfter + turnedAwayTime + stableTime
)

var errNotAcknowledged = errors.New("deregistration isn't acknowledged")

// playDrain lets a target leave by its deregistration. With trouble the process beside it is killed and started again while the store turns
// its machine away. In either case a heartbeat from before the deregistration arrives late.
func playDrain(ctx context.Context, w *world) ([]string, error) {
	store, err := w.startStore()
	if err != nil {
		return nil, err
	}
	d, err := newDoor(ctx, store)
	if err != nil {
		return nil, err
	}
	w.cleanup = append(w.cleanup, d.close)
	pairs, err := w.startPairs(ctx, []string{serviceDesk, serviceDesk, serviceShop}, func(index int) string {
		if index == 0 {
			return d.address
		}

		return store.Address()
	}, nil)
	if err != nil {
		return nil, err
	}
	asking := w.startAsking(ctx, pairs[2:], bookRequest)
	time.Sleep(time.Second)
	acknowledged, err := w.deregister(ctx, pairs[0], d)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(acknowledged.Add(serveOn)))
	asking.stop()
	var broken []string
	for _, x := range pairs[0].allRuns() {
		if after := x.at.Sub(acknowledged); after > max(drainTime, calmAfter) {
			broken = append(broken, fmt.Sprintf("%s reached %s %.2f s after its leaving was acknowledged", x.id, pairs[0].id, after.Seconds()))
		}
	}

	return broken, nil
}

// deregister lets the target leave, and returns when the node has acknowledged it.
func (w *world) deregister(ctx context.Context, p *pair, d *door) (time.Time, error) {
	late, lateAt := p.heartbeat(stateReady), time.Now().Add(beatDelay)
	w.record.add("target %s sends a heartbeat that arrives %s later", p.id, beatDelay)
	time.Sleep(100 * time.Millisecond)
	p.leave()
	if status := p.send(ctx, p.node.ports.Control, nil); status/100 != 2 {
		return time.Time{}, fmt.Errorf("status %d: %w", status, errNotAcknowledged)
	}
	acknowledged := time.Now()
	if w.trouble {
		time.Sleep(killAfter)
		if err := w.restartTurnedAway(p.node, d); err != nil {
			return time.Time{}, err
		}
	}
	time.Sleep(time.Until(lateAt))
	p.send(ctx, p.node.ports.Control, late)

	return acknowledged, nil
}

// restartTurnedAway kills the process and starts it again while the store turns its machine away.
func (w *world) restartTurnedAway(n *node, d *door) error {
	d.turnAway(true)
	w.record.add("platform: the store turns %s away", n.name)
	w.record.add("platform: SIGKILL to %s", n.name)
	n.kill()
	time.AfterFunc(turnedAwayTime, func() {
		d.turnAway(false)
		w.record.add("platform: the store serves %s", n.name)
	})
	time.Sleep(downTime)
	w.record.add("platform: starts %s", n.name)

	return n.start()
}
