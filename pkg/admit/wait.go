package admit

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// enqueue lets the item wait if it can be run in time, and refuses the least important one of a full queue.
func (g *Gate) enqueue(now time.Time, item Item) []Decision {
	until := g.until(now, &item)
	if g.expectedWait(&item) > until.Sub(now) {
		g.press(&item)
		g.leave(&item)

		return []Decision{g.refusal(&item, call.ReasonOverload, 0)}
	}
	g.queue.items = append(g.queue.items, waiting{item: item, since: now, until: until})
	decisions := []Decision{g.decision(&item, Wait, call.ReasonOverload)}
	if len(g.queue.items) > max(g.settings.QueueLength, 1) {
		decisions = g.displace(now, decisions)
	}

	return g.fill(now, decisions)
}

// displace refuses the last of the queue; if that is the newcomer its wait is not reported.
func (g *Gate) displace(now time.Time, decisions []Decision) []Decision {
	w := g.queue.take(g.queue.last(now))
	reason := call.ReasonQueueFull
	if g.occupancy.over(w.item.key()) {
		reason = call.ReasonFairShare
	}
	g.leave(&w.item)
	g.press(&w.item)
	refused := g.refusal(&w.item, reason, now.Sub(w.since))
	if w.item.Op == decisions[0].Op {
		return []Decision{refused}
	}

	return append(decisions, refused)
}

// until returns when the item has waited long enough: the most important wait as long as there is hope.
func (g *Gate) until(now time.Time, item *Item) time.Time {
	hope := item.Deadline.Add(-g.estimates.low(now, item.Kind))
	wait := g.settings.QueueWait
	switch item.Rank.Class() {
	case call.ClassVital:
		return hope
	case call.ClassHigh:
		wait *= highWaits
	case call.ClassBulk, call.ClassNormal:
	}
	if end := now.Add(wait); end.Before(hope) {
		return end
	}

	return hope
}

// expectedWait returns how long the items ahead will take.
func (g *Gate) expectedWait(item *Item) time.Duration {
	slots := g.limit - g.streams
	if slots <= 0 || item.Stream {
		return 0
	}
	ahead := g.queue.ahead(item.Rank.Class())

	return g.estimates.all.mean * time.Duration(ahead) / time.Duration(slots)
}

// expire refuses the items that have waited too long.
func (g *Gate) expire(now time.Time) []Decision {
	var decisions []Decision
	for i := 0; i < len(g.queue.items); {
		w := &g.queue.items[i]
		if now.Before(w.until) {
			i++

			continue
		}
		dropped := g.queue.take(i)
		decisions = append(decisions, g.drop(now, &dropped, g.expiry(now, &dropped)))
	}

	return decisions
}

func (g *Gate) expiry(now time.Time, w *waiting) call.Reason {
	if reason := g.hopeless(now, &w.item); reason != "" {
		return reason
	}

	return call.ReasonQueueTimeout
}

func (g *Gate) drop(now time.Time, w *waiting, reason call.Reason) Decision {
	g.press(&w.item)
	g.leave(&w.item)

	return g.refusal(&w.item, reason, now.Sub(w.since))
}

// fill starts items while there are slots, and drops those for which it is too late.
func (g *Gate) fill(now time.Time, decisions []Decision) []Decision {
	for len(g.queue.items) > 0 {
		i := g.queue.next(now, g.mayRun)
		if i < 0 {
			break
		}
		w := g.queue.take(i)
		if reason := g.hopeless(now, &w.item); reason != "" {
			decisions = append(decisions, g.drop(now, &w, reason))

			continue
		}
		decisions = append(decisions, g.start(now, &w.item, now.Sub(w.since)))
	}

	return decisions
}
