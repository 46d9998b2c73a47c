package resume

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/waits"
	"github.com/pistachiotack/pistachiotack/pkg/beat"
	"github.com/pistachiotack/pistachiotack/pkg/pace"
)

// Persist triggers a write of the node's row if the backend server's state has changed. If that server is draining or has
// deregistered, Persist waits up to persistTimeout for the write.
func (r *Resume) Persist(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	for {
		snapshot, saved, written := r.current()
		if saved {
			return
		}
		select {
		case r.changed <- struct{}{}:
		default:
		}
		if !snapshot.Left {
			return
		}
		select {
		case <-written:
		case <-ctx.Done():
			r.log.LogAttrs(ctx, slog.LevelWarn, "leaving acknowledged before it was kept", slog.String("process", snapshot.Heartbeat.String()))

			return
		}
	}
}

// current returns the state of the backend server, whether it is saved, and a channel that the next write closes.
func (r *Resume) current() (snapshot beat.Snapshot, saved bool, written <-chan struct{}) {
	snapshot, found := r.guard.Snapshot(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()

	return snapshot, !found || r.rowKept() && equivalent(snapshot, r.saved.backend), r.written
}

// rowKept reports whether the table still has the saved row. The mutex must be held.
func (r *Resume) rowKept() bool {
	select {
	case <-r.lost:
		return false
	default:
		return true
	}
}

// lostRow returns a channel that is closed when the table has lost the saved row, nil if it has already.
func (r *Resume) lostRow() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.rowKept() {
		return nil
	}

	return r.lost
}

// run saves changes until the context ends.
func (r *Resume) run(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		interval := pace.Interval(demandSaveInterval, len(r.members.All()), demandSaveApart)
		wait := interval/2 + rand.N(interval)
		if _, saved, _ := r.current(); !saved {
			wait = retryInterval
		}
		timer, demandDue := time.NewTimer(wait), false
		select {
		case <-ctx.Done():
		case <-r.changed:
		case <-r.guard.Changed():
			r.waitBeforeSave(ctx)
		case <-r.lostRow():
			// all nodes write their rows again
			waits.Sleep(ctx, rand.N(retryInterval))
		case <-timer.C:
			demandDue = true
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
		err := r.save(ctx, demandDue)
		if err != nil && !failed && ctx.Err() == nil {
			r.log.LogAttrs(ctx, slog.LevelWarn, "row not kept", slog.String("error", err.Error()))
		}
		failed = err != nil
	}
}

// waitBeforeSave delays the write of a changed rate limit, since many servers may state one at once, as in an overload. A heartbeat or a
// leaving ends the delay.
func (r *Resume) waitBeforeSave(ctx context.Context) {
	timer := time.NewTimer(rand.N(pace.Interval(retryInterval, len(r.members.All()), demandSaveApart)))
	defer timer.Stop()
	for {
		if snapshot, _, _ := r.current(); snapshot.Left {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-r.changed:
			return
		case <-r.guard.Changed():
		}
	}
}

// save writes the row if the backend server's state has changed, or if demandDue is set and the demand estimates have changed.
func (r *Resume) save(ctx context.Context, demandDue bool) error {
	now := time.Now()
	snapshot, saved, _ := r.current()
	if snapshot.Heartbeat.ID == "" {
		return nil
	}
	number, lost := r.table.Era()
	next := state{backend: snapshot, demand: r.demand.Snapshot(now), savedAt: now, revision: r.holder.Revision(), era: &number}
	if saved && (!demandDue || r.demandUnchanged(next)) {
		return nil
	}
	text, err := encode(next)
	if err != nil {
		return err
	}
	if _, err = r.table.Put(ctx, r.key(), text, ""); err != nil {
		return err
	}
	r.setSaved(next, lost)

	return nil
}

// demandUnchanged reports whether the demand estimates differ little from the saved ones.
func (r *Resume) demandUnchanged(next state) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return next.demand.SimilarTo(r.saved.demand)
}

// setSaved records the state in the row, which the table keeps until lost is closed, and wakes the callers of Persist.
func (r *Resume) setSaved(saved state, lost <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved, r.lost = saved, lost
	close(r.written)
	r.written = make(chan struct{})
}
