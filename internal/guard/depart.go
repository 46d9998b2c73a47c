package guard

import (
	"log/slog"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/beat"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// announceDeparture tells the fleet that the process of the heartbeat has left; the caller holds the lock.
func (g *Guard) announceDeparture(now time.Time, heartbeat beat.Heartbeat) {
	g.announcer.SetDeparted(member.Departure{Process: heartbeat.ID, StartedAt: heartbeat.StartedAt, At: now})
}

// handleDepartures processes the departure that has been received last, if there is one; the caller holds the lock.
func (g *Guard) handleDepartures(now time.Time) {
	select {
	case departure := <-g.announcer.Departures():
		g.handleDeparture(now, departure)
	default:
	}
}

// handleDeparture processes a departure that another node knows of; the caller holds the lock.
func (g *Guard) handleDeparture(now time.Time, departure member.Departure) {
	g.backend.Restore(now, beat.Snapshot{
		Heartbeat: beat.Heartbeat{ID: departure.Process, StartedAt: departure.StartedAt}, Left: true, AsOf: departure.At,
	}, false)
	g.options.Log.Info("backend server left", slog.String("id", departure.Process), slog.Time("at", departure.At), slog.String("source", "peer"))
	g.applyState(now)
	g.notifyChanged()
}
