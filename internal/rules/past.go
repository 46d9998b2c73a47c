package rules

import (
	"context"
	"log/slog"
	"time"
)

const (
	// restoreTimeout is how long the first manifest of the platform waits for Restore.
	restoreTimeout = time.Second
	// peersTimeout is how long a restarted node looks for newer routes at its peers if the platform has lost rows, and
	// revisionTimeout how long if it knows that it had newer ones in force.
	peersTimeout    = 2 * time.Second
	revisionTimeout = 10 * time.Second
)

// Past is what a node knows of the routes that it had in force before its restart.
type Past struct {
	// Revision is the lowest version that was in force, zero if unknown.
	Revision uint64
	// RowsLost is true if the platform has lost rows since Revision was saved, so that a newer version may have been in force.
	RowsLost bool
}

// Restore sets what is known of the time before the restart; the first manifest of the platform waits for it for a moment.
func (r *Rules) Restore(past Past) {
	r.mu.Lock()
	r.past = past
	r.mu.Unlock()
	r.restoredOnce.Do(func() { close(r.restored) })
}

// sourcePlatform is the source of versions that the platform has delivered.
const sourcePlatform = "platform"

// applyFromPlatform puts the newest of the platform's manifests in force. If the node has none yet and may have had a newer one before its
// restart, the manifest waits until other nodes have been asked.
func (r *Rules) applyFromPlatform(ctx context.Context, manifests []Manifest) {
	v, valid := r.newestValid(ctx, manifests, sourcePlatform)
	if !valid {
		return
	}
	if r.Revision() > 0 {
		r.apply(ctx, v, sourcePlatform)

		return
	}
	timer := time.NewTimer(restoreTimeout)
	defer timer.Stop()
	select {
	case <-r.restored:
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	if wait := r.waitForNewer(v); wait > 0 {
		r.hold(ctx, v, wait)

		return
	}
	r.apply(ctx, v, sourcePlatform)
}

// waitForNewer returns how long to look for a newer version before this one is put in force.
func (r *Rules) waitForNewer(v version) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case v.table.Version() < r.past.Revision:
		return revisionTimeout
	case r.past.RowsLost:
		return peersTimeout
	default:
		return 0
	}
}

// hold keeps a version until it is put in force by applyPending.
func (r *Rules) hold(ctx context.Context, v version, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log.LogAttrs(ctx, slog.LevelWarn, "routes of the platform may be older than those in force before the restart",
		slog.Uint64("before", r.past.Revision), slog.Bool("rowsLost", r.past.RowsLost), slog.Duration("wait", wait))
	if r.pending == nil {
		r.pendingUntil = time.Now().Add(wait)
	}
	r.pending = &v
}

// applyPending puts a version in force that has waited long enough, or compares it with the one in force by now.
func (r *Rules) applyPending(ctx context.Context) {
	r.mu.Lock()
	pending, due := r.pending, r.Revision() > 0 || !time.Now().Before(r.pendingUntil)
	if due {
		r.pending = nil
	}
	r.mu.Unlock()
	if due && pending != nil {
		r.apply(ctx, *pending, sourcePlatform)
	}
}
