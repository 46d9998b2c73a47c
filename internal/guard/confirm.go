package guard

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/panics"
	"github.com/pistachiotack/pistachiotack/internal/waits"
	"github.com/pistachiotack/pistachiotack/pkg/beat"
)

const (
	// checkTimeout limits one status check of the backend server, which is on the same VM.
	checkTimeout = 500 * time.Millisecond
	// routesWait is how long a status check waits for the routes, which contain its path, and routesPollInterval the time between looks.
	routesWait         = time.Second
	routesPollInterval = 10 * time.Millisecond
	// checkRetryInterval is the time between status checks of a backend server that had no room for the one before.
	checkRetryInterval = 100 * time.Millisecond
)

var (
	// errNoRoutes is returned if no routes are in force yet, and errNoCheckPath if they name no path for status checks.
	errNoRoutes    = errors.New("no routes yet")
	errNoCheckPath = errors.New("no path for status checks")
	// errOtherProcess is returned if another process than the expected one responds to a status check.
	errOtherProcess = errors.New("another process responds")
)

// Check sends a status check to the backend server, once the routes are known, and returns what the process that responded states.
func (g *Guard) Check(ctx context.Context) (beat.Health, error) {
	path := g.checkPath(ctx)
	switch {
	case path != "":
	case g.holder.Table() == nil:
		return beat.Health{}, errNoRoutes
	default:
		return beat.Health{}, errNoCheckPath
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()

	return g.probe(ctx, path)
}

// checkPath waits for the routes and returns the path for status checks, empty if there is none within routesWait.
func (g *Guard) checkPath(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, routesWait)
	defer cancel()
	for ctx.Err() == nil {
		if table := g.holder.Table(); table != nil {
			return table.HealthPath(g.options.Service)
		}
		waits.Sleep(ctx, routesPollInterval)
	}

	return ""
}

// requestConfirmation starts status checks of the candidate, unless they are under way.
func (g *Guard) requestConfirmation() {
	select {
	case g.unconfirmed <- struct{}{}:
	default:
	}
}

// confirmCandidates confirms candidates by status checks until the context ends.
func (g *Guard) confirmCandidates(ctx context.Context) {
	defer close(g.confirmEnded)
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.unconfirmed:
		}
		// the error has been logged, and the next heartbeat starts further checks
		_ = panics.Do(ctx, g.options.Log, "status check of a backend server", func(ctx context.Context) error {
			g.confirm(ctx)

			return nil
		})
	}
}

// confirm checks the candidate until the process says that it is well or that it isn't, until the next heartbeat is due at most.
func (g *Guard) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, g.options.Interval)
	defer cancel()
	for {
		candidate, found := g.candidate()
		if !found {
			return
		}
		health, err := g.Check(ctx)
		if err == nil && health.ID != candidate.ID {
			err = errors.Wrap(errOtherProcess, health.ID)
		}
		if err == nil {
			g.acceptCandidate(time.Now(), health)

			return
		}
		if ctx.Err() != nil || !errors.IsAny(err, errBusy, errNoRoutes) {
			g.options.Log.LogAttrs(ctx, slog.LevelInfo, "backend server not confirmed",
				slog.String("process", candidate.String()), slog.String("reason", err.Error()))

			return
		}
		waits.Sleep(ctx, checkRetryInterval)
	}
}

// candidate returns the latest heartbeat of the process that has to be confirmed, false if there is none.
func (g *Guard) candidate() (beat.Heartbeat, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.backend.Candidate()
}

// acceptCandidate makes the process that has passed a status check the current one, if it is still the candidate.
func (g *Guard) acceptCandidate(now time.Time, health beat.Health) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handleDepartures(now)
	before := g.backend.LastHeartbeat()
	if !g.backend.Confirm(now, health.ID) {
		return
	}
	g.backend.HandleRateLimit(health.ID, health.RateLimit)
	g.handleNewProcess(now, before)
	g.applyState(now)
	g.notifyChanged()
}
