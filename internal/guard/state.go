package guard

import (
	"log/slog"
	"time"
)

// handleStatement processes what the process with the ID states about itself in a response.
func (g *Guard) handleStatement(process string, info ResponseInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if info.Leaving && g.backend.HandleLeaving(process) {
		g.options.Log.Info("backend server left", slog.String("id", process), slog.Bool("known", true), slog.String("source", "response"))
		g.applyState(now)
		g.notifyChanged()
	}
	if info.RateLimitErr != nil {
		g.logUnreadableLimit(process, info.RateLimitErr)

		return
	}
	g.limitUnreadable = false
	before := g.backend.RateLimit()
	if g.backend.HandleRateLimit(process, info.RateLimit) {
		g.options.Log.Info("backend server's rate limit changed", slog.String("process", process),
			slog.String("limit", info.RateLimit.String()), slog.String("before", before.String()))
		g.applyState(now)
		g.notifyChanged()
	}
	if !g.limitUnknownUntil.IsZero() {
		g.setLimitKnown(now)
	}
}

// setLimitKnown lets as many calls run at once as the server has room for; the caller holds the lock.
func (g *Guard) setLimitKnown(now time.Time) {
	g.limitUnknownUntil = time.Time{}
	g.applyState(now)
}

// startWaiting starts the waiting calls that the rate limit allows.
func (g *Guard) startWaiting(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Expire(now)
	g.planNextStart(now)
}

// planNextStart sets the timer for the next start of a call that waits for the rate limit; the caller holds the lock.
func (g *Guard) planNextStart(now time.Time) {
	if wait, waiting := g.queue.NextStart(now); waiting {
		g.nextStart.Reset(wait)
	}
}

// Changed returns a channel that receives a value when the snapshot has changed without a heartbeat.
func (g *Guard) Changed() <-chan struct{} {
	return g.changed
}

func (g *Guard) notifyChanged() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// logUnreadableLimit logs the first of several responses in a row whose limit cannot be read; the previous limit stays in force. The
// caller holds the lock.
func (g *Guard) logUnreadableLimit(process string, err error) {
	if !g.limitUnreadable {
		g.options.Log.Warn("backend server's rate limit ignored", slog.String("process", process), slog.String("error", err.Error()))
	}
	g.limitUnreadable = true
}

// noRateLimit is the metric's value while the backend server states no limit.
const noRateLimit = -1

// rateLimit returns the limit of the backend server in calls per second, noRateLimit for none.
func (g *Guard) rateLimit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit := g.backend.RateLimit(); limit.Stated() {
		return limit.CallsPerSecond()
	}

	return noRateLimit
}
