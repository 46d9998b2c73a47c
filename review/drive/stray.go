package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

const (
	// strayAfter is the time from the acknowledgement of a target's leaving to the stray heartbeat, strayServeOn that to the target's end.
	strayAfter   = 5 * time.Second
	strayServeOn = 10 * time.Second
)

// playStray lets a target leave by its deregistration. With trouble a heartbeat of another writer comes, which lacks fields.
func playStray(ctx context.Context, w *world) ([]string, error) {
	store, err := w.startStore()
	if err != nil {
		return nil, err
	}
	services := []string{serviceDesk, serviceDesk, serviceShop}
	pairs, err := w.startPairs(ctx, services, func(int) string { return store.Address() }, nil)
	if err != nil {
		return nil, err
	}
	asking := w.startAsking(ctx, pairs[2:], bookRequest)
	time.Sleep(time.Second)
	leaving := pairs[0]
	leaving.leave()
	if status := leaving.send(ctx, leaving.node.ports.Control, nil); status/100 != 2 {
		return nil, fmt.Errorf("status %d: %w", status, errNotAcknowledged)
	}
	acknowledged := time.Now()
	time.Sleep(strayAfter)
	if w.trouble {
		body, err := leaving.strayHeartbeat()
		if err != nil {
			return nil, err
		}
		w.record.add("another writer sends a heartbeat that lacks born, zone and version")
		leaving.send(ctx, leaving.node.ports.Control, body)
	}
	time.Sleep(time.Until(acknowledged.Add(strayServeOn)))
	asking.stop()
	var broken []string
	for _, x := range leaving.allRuns() {
		if after := x.at.Sub(acknowledged); after > drainTime {
			broken = append(broken, fmt.Sprintf("%s reached %s %.2f s after its leaving was acknowledged", x.id, leaving.id, after.Seconds()))
		}
	}

	return broken, nil
}

// strayHeartbeat returns a heartbeat with the target's id and the state ready that lacks three fields.
func (t *target) strayHeartbeat() ([]byte, error) {
	var fields map[string]any
	if err := json.Unmarshal(t.heartbeat(stateReady), &fields); err != nil {
		return nil, err
	}
	delete(fields, "born")
	if info, ok := fields["info"].(map[string]any); ok {
		delete(info, "zone")
		delete(info, "version")
	}

	return json.Marshal(fields)
}
