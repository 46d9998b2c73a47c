package guard

import "log/slog"

// handleStatement processes what the process with the ID states about itself in a response.
func (g *Guard) handleStatement(process string, info ResponseInfo) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if info.RateLimitErr != nil {
		g.logUnreadableLimit(process, info.RateLimitErr)

		return
	}
	g.limitUnreadable = false
	before := g.backend.RateLimit()
	if g.backend.HandleRateLimit(process, info.RateLimit) {
		g.options.Log.Info("backend server's rate limit changed", slog.String("process", process),
			slog.String("limit", info.RateLimit.String()), slog.String("before", before.String()))
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
