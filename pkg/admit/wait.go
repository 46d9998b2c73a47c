package admit

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// enqueue queues the item if it can be expected to start in time, and evicts the item that would run last from a full queue.
func (g *Gate) enqueue(now time.Time, item Item) []Decision {
	waitUntil := g.waitDeadline(now, &item)
	if g.expectedWait(&item) > waitUntil.Sub(now) {
		g.countLoadRefusal(&item)
		g.leave(&item)

		return []Decision{g.refusal(&item, call.ReasonOverload, 0)}
	}
	g.queue.items = append(g.queue.items, queuedItem{item: item, enqueuedAt: now, waitUntil: waitUntil})
	decisions := []Decision{g.decision(&item, Wait, call.ReasonOverload)}
	if len(g.queue.items) > max(g.settings.QueueLength, 1) {
		decisions = g.evict(now, decisions)
	}

	return g.fill(now, decisions)
}

// evict refuses the queued item that would run last. If that is the new item, the result holds only its refusal, not the
// decision to let it wait.
func (g *Gate) evict(now time.Time, decisions []Decision) []Decision {
	w := g.queue.remove(g.queue.victim(now))
	reason := call.ReasonQueueFull
	if g.occupancy.overFairShare(w.item.key()) {
		reason = call.ReasonFairShare
	}
	g.leave(&w.item)
	g.countLoadRefusal(&w.item)
	refused := g.refusal(&w.item, reason, now.Sub(w.enqueuedAt))
	if w.item.Op == decisions[0].Op {
		return []Decision{refused}
	}

	return append(decisions, refused)
}

// waitDeadline returns the time until which the item may wait. Vital items may wait as long as they can still meet their
// deadline.
func (g *Gate) waitDeadline(now time.Time, item *Item) time.Time {
	latestStart := item.Deadline.Add(-g.serviceTimes.lowerBound(now, item.Kind))
	wait := g.settings.QueueWait
	switch item.Rank.Class() {
	case call.ClassVital:
		return latestStart
	case call.ClassHigh:
		wait *= highClassWaitFactor
	case call.ClassBulk, call.ClassNormal:
	}
	if end := now.Add(wait); end.Before(latestStart) {
		return end
	}

	return latestStart
}

// expectedWait estimates how long the items ahead of this one in the queue will take.
func (g *Gate) expectedWait(item *Item) time.Duration {
	slots := g.limit - g.streams
	if slots <= 0 || item.Stream {
		return 0
	}
	ahead := g.queue.countAhead(item.Rank.Class())

	return g.serviceTimes.all.mean * time.Duration(ahead) / time.Duration(slots)
}

// expire refuses the items that have reached the end of their allowed waiting time.
func (g *Gate) expire(now time.Time) []Decision {
	var decisions []Decision
	for i := 0; i < len(g.queue.items); {
		w := &g.queue.items[i]
		if now.Before(w.waitUntil) {
			i++

			continue
		}
		dropped := g.queue.remove(i)
		decisions = append(decisions, g.drop(now, &dropped, g.expiryReason(now, &dropped)))
	}

	return decisions
}

// expiryReason returns why an item that has reached the end of its allowed waiting time is refused.
func (g *Gate) expiryReason(now time.Time, w *queuedItem) call.Reason {
	if reason := g.deadlineReason(now, &w.item); reason != "" {
		return reason
	}

	return call.ReasonQueueTimeout
}

// drop refuses an item that was removed from the queue and counts the refusal as caused by load.
func (g *Gate) drop(now time.Time, w *queuedItem, reason call.Reason) Decision {
	g.countLoadRefusal(&w.item)
	g.leave(&w.item)

	return g.refusal(&w.item, reason, now.Sub(w.enqueuedAt))
}

// fill starts queued items while there are free slots, and refuses those that can no longer meet their deadline.
func (g *Gate) fill(now time.Time, decisions []Decision) []Decision {
	for len(g.queue.items) > 0 {
		i := g.queue.next(now, g.hasSlot)
		if i < 0 {
			break
		}
		w := g.queue.remove(i)
		if reason := g.deadlineReason(now, &w.item); reason != "" {
			decisions = append(decisions, g.drop(now, &w, reason))

			continue
		}
		decisions = append(decisions, g.start(now, &w.item, now.Sub(w.enqueuedAt)))
	}

	return decisions
}
