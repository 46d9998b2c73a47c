package admit

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const (
	highWaits = 3
	// vitalBytes is the share of the buffers that only the two upper classes may fill.
	vitalBytes = 0.25
	// reserveSlack is the room above the recent peak of short calls that streams leave free.
	reserveSlack = 1.25
	peakAgeing   = 0.99
)

// running is an item that holds a slot.
type running struct {
	item  Item
	since time.Time
}

// Gate holds the calls of one executing node; its owner serialises calls.
type Gate struct {
	settings Settings
	limit    int
	rng      *rand.Rand

	running   map[call.ID]running
	queue     queue
	occupancy *occupancy
	estimates *estimates
	threshold threshold
	reserve   reserve
	streams   int
	bytes     int64
	// shortPeak is the recent peak of short calls that ran or waited at once.
	shortPeak float64
	peakAt    time.Time
}

// New returns an empty gate.
func New(settings Settings, limit int, rng *rand.Rand) *Gate {
	occupancy := newOccupancy()

	return &Gate{
		settings:  settings,
		limit:     limit,
		rng:       rng,
		running:   map[call.ID]running{},
		queue:     queue{occupancy: occupancy},
		occupancy: occupancy,
		estimates: newEstimates(),
	}
}

// SetSettings takes new settings for the items that come after.
func (g *Gate) SetSettings(settings Settings) {
	g.settings = settings
}

// SetLimit takes a new limit and returns the decisions on items that may run because of it.
func (g *Gate) SetLimit(now time.Time, limit int) []Decision {
	g.limit = limit

	return g.fill(now, nil)
}

// Offer decides on an item and on those that it displaces; the last decision on an item counts.
func (g *Gate) Offer(now time.Time, item Item) []Decision {
	g.threshold.roll(now)
	if !item.Stream {
		g.threshold.arrive(item.Rank)
	}
	g.agePeak(now)
	if reason := g.hopeless(now, &item); reason != "" {
		return []Decision{g.refusal(&item, reason, 0)}
	}
	if !g.fits(&item) {
		g.press(&item)

		return []Decision{g.refusal(&item, call.ReasonBufferFull, 0)}
	}
	g.enter(&item, item.Deadline.Sub(now))
	if len(g.queue.items) == 0 && g.mayRun(&item) {
		if !item.Stream {
			g.threshold.instant++
		}

		return []Decision{g.start(now, &item, 0)}
	}

	return g.enqueue(now, item)
}

// Release ends an item that ran, or leaves the queue, and returns the decisions on those that follow.
func (g *Gate) Release(now time.Time, op call.ID, result Result) []Decision {
	g.threshold.roll(now)
	ended, found := g.running[op]
	if !found {
		return g.cancel(now, op)
	}
	delete(g.running, op)
	g.reserve.stop(&ended.item)
	if ended.item.Stream {
		g.streams--
	} else {
		g.estimates.learn(now, ended.item.Kind, now.Sub(ended.since), result)
		g.reserve.ended(&ended.item, now.Sub(ended.since))
		g.threshold.finished++
	}
	g.leave(&ended.item)

	return g.fill(now, nil)
}

// Tick drops the items that have waited too long and starts those that may run.
func (g *Gate) Tick(now time.Time) []Decision {
	g.threshold.roll(now)

	return g.fill(now, g.expire(now))
}

// Load returns the state that rides back on answers.
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

func (g *Gate) cancel(now time.Time, op call.ID) []Decision {
	for i := range g.queue.items {
		if g.queue.items[i].item.Op == op {
			w := g.queue.take(i)
			g.leave(&w.item)

			return g.fill(now, nil)
		}
	}

	return nil
}

func (g *Gate) enter(item *Item, left time.Duration) {
	g.occupancy.add(item.key())
	g.bytes += item.Bytes
	g.reserve.enter(item, left)
	if item.Stream {
		return
	}
	short := len(g.running) + len(g.queue.items) - g.streams + 1
	g.shortPeak = max(g.shortPeak, float64(min(short, g.limit)))
}

// agePeak lets the reserve of short calls shrink while nobody uses it; it begins with all that streams have no share of.
func (g *Gate) agePeak(now time.Time) {
	if g.peakAt.IsZero() {
		g.peakAt = now
		g.shortPeak = float64(g.limit) * (1 - g.settings.StreamShare) / reserveSlack
	}
	windows := now.Sub(g.peakAt) / thresholdWindow
	if windows > 0 {
		g.peakAt = now
		g.shortPeak *= math.Pow(peakAgeing, float64(windows))
		g.reserve.age(windows)
	}
}

func (g *Gate) leave(item *Item) {
	g.occupancy.remove(item.key())
	g.bytes -= item.Bytes
	g.reserve.leave(item)
}

// press counts a refusal for load; streams have their own share of the slots and say nothing of the rest.
func (g *Gate) press(item *Item) {
	if !item.Stream {
		g.threshold.pressed++
	}
}

// fits reports whether the buffers have room for the item.
func (g *Gate) fits(item *Item) bool {
	total := g.settings.BufferTotal
	if total <= 0 || item.Bytes == 0 {
		return true
	}
	if item.Rank.Class() < call.ClassHigh {
		total -= int64(float64(total) * vitalBytes)
	}

	return g.bytes+item.Bytes <= total
}

// hopeless returns why the item cannot be in time, empty if it can.
func (g *Gate) hopeless(now time.Time, item *Item) call.Reason {
	left := item.Deadline.Sub(now)
	if left <= 0 {
		return call.ReasonDeadline
	}
	if !item.Stream && left < g.estimates.low(now, item.Kind) {
		return call.ReasonHopeless
	}

	return ""
}

// mayRun reports whether there is a slot for the item.
func (g *Gate) mayRun(item *Item) bool {
	if len(g.running) >= g.limit-g.reserve.kept(item, g.limit) {
		return false
	}
	if !item.Stream {
		return true
	}
	share := max(int(g.settings.StreamShare*float64(g.limit)), 1)
	if g.streams < share {
		return true
	}
	reserve := max(int(g.shortPeak*reserveSlack), 1)

	return g.streams+1+reserve <= g.limit
}

func (g *Gate) start(now time.Time, item *Item, waited time.Duration) Decision {
	g.running[item.Op] = running{item: *item, since: now}
	g.reserve.start(item)
	if item.Stream {
		g.streams++
	}
	d := g.decision(item, Run, call.ReasonOK)
	d.Waited = waited

	return d
}

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

func (g *Gate) refusal(item *Item, reason call.Reason, waited time.Duration) Decision {
	d := g.decision(item, Refuse, reason)
	d.Waited = waited
	d.RetryAfter = time.Duration(float64(g.settings.RetryAfter) * (0.5 + g.rng.Float64()))

	return d
}
