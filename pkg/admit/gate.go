package admit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const (
	// highClassWaitFactor is the ratio of the maximum queueing time of the high class to that of the lower two classes.
	highClassWaitFactor = 3
	// upperClassBufferShare is the share of the buffer space that only the high and vital classes may use.
	upperClassBufferShare = 0.25
	// shortCallHeadroom is the ratio of the slots that streams leave to short calls to the recent peak of short calls.
	shortCallHeadroom = 1.25
	// shortCallPeakDecay is the factor by which the peak decays in each threshold window.
	shortCallPeakDecay = 0.99
)

// runningItem is an item that holds a slot.
type runningItem struct {
	item      Item
	startedAt time.Time
}

// Gate is the admission controller of one executing node. A slot is the right to run one call on the backend server. Calls
// without a streaming response are called short. Gate is not safe for concurrent use.
type Gate struct {
	settings Settings
	limit    int
	rng      *rand.Rand

	running      map[call.ID]runningItem
	queue        queue
	occupancy    *occupancy
	serviceTimes *serviceTimes
	threshold    threshold
	reserve      reserve
	streams      int
	bytes        int64
	// shortCallPeak is the recent maximum of short calls that ran or waited at the same time.
	shortCallPeak  float64
	peaksDecayedAt time.Time
}

// New returns a gate without items and with the given number of slots.
func New(settings Settings, limit int, rng *rand.Rand) *Gate {
	occupancy := newOccupancy()

	return &Gate{
		settings:     settings,
		limit:        limit,
		rng:          rng,
		running:      map[call.ID]runningItem{},
		queue:        queue{occupancy: occupancy},
		occupancy:    occupancy,
		serviceTimes: newServiceTimes(),
	}
}

// SetSettings replaces the settings; items that are already queued keep their waiting time.
func (g *Gate) SetSettings(settings Settings) {
	g.settings = settings
}

// SetLimit sets the number of slots and returns the decisions on queued items that may start because of it.
func (g *Gate) SetLimit(now time.Time, limit int) []Decision {
	g.limit = limit

	return g.fill(now, nil)
}

// Offer submits an item and returns the decisions on it and on items that it evicts. If there are several decisions on one
// item, the last one holds.
func (g *Gate) Offer(now time.Time, item Item) []Decision {
	g.threshold.roll(now)
	if !item.Stream {
		g.threshold.addArrival(item.Rank)
	}
	g.decayPeaks(now)
	if reason := g.deadlineReason(now, &item); reason != "" {
		return []Decision{g.refusal(&item, reason, 0)}
	}
	if !g.fitsBuffers(&item) {
		g.countLoadRefusal(&item)

		return []Decision{g.refusal(&item, call.ReasonBufferFull, 0)}
	}
	g.enter(&item, item.Deadline.Sub(now))
	if len(g.queue.items) == 0 && g.hasSlot(&item) {
		if !item.Stream {
			g.threshold.immediateStarts++
		}

		return []Decision{g.start(now, &item, 0)}
	}

	return g.enqueue(now, item)
}

// Release ends a running item, or removes a waiting one from the queue, and returns the decisions on queued items that may
// start because of it.
func (g *Gate) Release(now time.Time, op call.ID, result Result) []Decision {
	g.threshold.roll(now)
	finished, found := g.running[op]
	if !found {
		return g.cancelQueued(now, op)
	}
	delete(g.running, op)
	g.reserve.stop(&finished.item)
	if finished.item.Stream {
		g.streams--
	} else {
		g.serviceTimes.observe(now, finished.item.Kind, now.Sub(finished.startedAt), result)
		g.reserve.observeHold(&finished.item, now.Sub(finished.startedAt))
		g.threshold.windowCompletions++
	}
	g.leave(&finished.item)

	return g.fill(now, nil)
}

// Tick refuses the items that have waited too long and starts queued items that have a slot. It must be called regularly.
func (g *Gate) Tick(now time.Time) []Decision {
	g.threshold.roll(now)

	return g.fill(now, g.expire(now))
}

// Load returns the current load.
func (g *Gate) Load() Load {
	return Load{
		Running:   len(g.running),
		Queued:    len(g.queue.items),
		Limit:     g.limit,
		Streams:   g.streams,
		Bytes:     g.bytes,
		Threshold: g.threshold.rank(),
	}
}

// cancelQueued removes a waiting item and returns the decisions on the others; an unknown item has no effect.
func (g *Gate) cancelQueued(now time.Time, op call.ID) []Decision {
	for i := range g.queue.items {
		if g.queue.items[i].item.Op == op {
			w := g.queue.remove(i)
			g.leave(&w.item)

			return g.fill(now, nil)
		}
	}

	return nil
}

// enter accounts for an accepted item, which runs or waits.
func (g *Gate) enter(item *Item, left time.Duration) {
	g.occupancy.add(item.key())
	g.bytes += item.Bytes
	g.reserve.enter(item, left)
	if item.Stream {
		return
	}
	shortCalls := len(g.running) + len(g.queue.items) - g.streams + 1
	g.shortCallPeak = max(g.shortCallPeak, float64(min(shortCalls, g.limit)))
}

// decayPeaks reduces the recent peaks, so that unused reserves shrink. On the first call it sets the peak of short calls so
// that streams get no more than their own share.
func (g *Gate) decayPeaks(now time.Time) {
	if g.peaksDecayedAt.IsZero() {
		g.peaksDecayedAt = now
		g.shortCallPeak = float64(g.limit) * (1 - g.settings.StreamShare) / shortCallHeadroom
	}
	windows := now.Sub(g.peaksDecayedAt) / thresholdWindow
	if windows > 0 {
		g.peaksDecayedAt = now
		g.shortCallPeak *= math.Pow(shortCallPeakDecay, float64(windows))
		g.reserve.decay(windows)
	}
}

// leave accounts for an item that ended or left the queue.
func (g *Gate) leave(item *Item) {
	g.occupancy.remove(item.key())
	g.bytes -= item.Bytes
	g.reserve.leave(item)
}

// countLoadRefusal counts a refusal for load. Streams have their own share of the slots, so they are no sign of overload.
func (g *Gate) countLoadRefusal(item *Item) {
	if !item.Stream {
		g.threshold.loadRefusals++
	}
}

// fitsBuffers reports whether there is buffer space for the item.
func (g *Gate) fitsBuffers(item *Item) bool {
	total := g.settings.BufferTotal
	if total <= 0 || item.Bytes == 0 {
		return true
	}
	if item.Rank.Class() < call.ClassHigh {
		total -= int64(float64(total) * upperClassBufferShare)
	}

	return g.bytes+item.Bytes <= total
}

// deadlineReason returns why the item cannot meet its deadline, an empty reason if it can.
func (g *Gate) deadlineReason(now time.Time, item *Item) call.Reason {
	left := item.Deadline.Sub(now)
	if left <= 0 {
		return call.ReasonDeadline
	}
	if !item.Stream && left < g.serviceTimes.lowerBound(now, item.Kind) {
		return call.ReasonHopeless
	}

	return ""
}

// hasSlot reports whether there is a free slot for the item. Streams may exceed their share only as far as the recent peak of
// short calls leaves slots free.
func (g *Gate) hasSlot(item *Item) bool {
	if len(g.running) >= g.limit-g.reserve.reservedSlots(item, g.limit) {
		return false
	}
	if !item.Stream {
		return true
	}
	streamSlots := max(int(g.settings.StreamShare*float64(g.limit)), 1)
	if g.streams < streamSlots {
		return true
	}
	reserved := max(int(g.shortCallPeak*shortCallHeadroom), 1)

	return g.streams+1+reserved <= g.limit
}

// start gives the item a slot.
func (g *Gate) start(now time.Time, item *Item, waited time.Duration) Decision {
	g.running[item.Op] = runningItem{item: *item, startedAt: now}
	g.reserve.start(item)
	if item.Stream {
		g.streams++
	}
	d := g.decision(item, Run, call.ReasonOK)
	d.Waited = waited

	return d
}

// decision returns a decision with the current load.
func (g *Gate) decision(item *Item, verdict Verdict, reason call.Reason) Decision {
	return Decision{
		Op:        item.Op,
		Verdict:   verdict,
		Reason:    reason,
		Running:   len(g.running),
		Queued:    len(g.queue.items),
		Limit:     g.limit,
		Threshold: g.threshold.rank(),
	}
}

// refusal returns a refusal with a jittered delay after which the caller may retry.
func (g *Gate) refusal(item *Item, reason call.Reason, waited time.Duration) Decision {
	d := g.decision(item, Refuse, reason)
	d.Waited = waited
	d.RetryAfter = time.Duration(float64(g.settings.RetryAfter) * (0.5 + g.rng.Float64()))

	return d
}
