package beat

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/rate"
)

// Snapshot is the part of a server's state that survives a restart of the node.
type Snapshot struct {
	Heartbeat Heartbeat
	// Left says that the process named in the heartbeat was draining or had deregistered at the time AsOf.
	Left bool
	AsOf time.Time
	// RateLimit is the limit that the process stated last.
	RateLimit rate.Limit
}

// WithRateLimit returns a copy with another rate limit.
func (s Snapshot) WithRateLimit(limit rate.Limit) Snapshot {
	s.RateLimit = limit

	return s
}

// Health is the response of a backend server to a status check.
type Health struct {
	// ID is that of the process that responded.
	ID        string
	RateLimit rate.Limit
}

// Restore applies a snapshot from before a restart of the node and reports whether it made the server ready; alive says that the same
// process responds now. A heartbeat received since the restart takes precedence over the snapshot, and its process keeps the rate limit.
func (s *Server) Restore(now time.Time, snapshot Snapshot, alive bool) bool {
	if snapshot.Left {
		s.restoreLeaving(snapshot)

		return false
	}
	if s.state != StateAbsent {
		if processOf(snapshot.Heartbeat) == processOf(s.lastHeartbeat) && !s.rateLimit.Stated() {
			s.rateLimit = snapshot.RateLimit
		}

		return false
	}
	if !alive || !s.accepts(now, snapshot.Heartbeat) {
		return false
	}
	s.rateLimit = snapshot.RateLimit

	return true
}

// accepts processes the heartbeat of a process that has passed a status check.
func (s *Server) accepts(now time.Time, heartbeat Heartbeat) bool {
	verdict := s.HandleHeartbeat(now, heartbeat)

	return verdict == VerdictAccepted || verdict == VerdictUnconfirmed && s.Confirm(now, heartbeat.ID)
}

// restoreLeaving applies the leaving of a process, which a late heartbeat may have made ready since the restart.
func (s *Server) restoreLeaving(snapshot Snapshot) {
	s.recordDeregistration(snapshot.Heartbeat.ID, snapshot.AsOf)
	if !snapshot.Heartbeat.StartedAt.IsZero() {
		s.markEnded(snapshot.Heartbeat)
	}
	s.dropCandidate(snapshot.Heartbeat.ID)
	same := processOf(snapshot.Heartbeat) == processOf(s.lastHeartbeat)
	if snapshot.Heartbeat.StartedAt.IsZero() {
		same = s.hasDeregistered(s.lastHeartbeat)
	}
	if s.state != StateAbsent && same {
		s.state = next(s.state, eventLeave)
	}
}

// Snapshot returns the state to keep for a restart of the node, and false if there is none.
func (s *Server) Snapshot(now time.Time) (Snapshot, bool) {
	if s.state == StateAbsent {
		return s.lastDeregistration()
	}

	return Snapshot{Heartbeat: s.lastHeartbeat, Left: s.state == StateDraining, AsOf: now, RateLimit: s.rateLimit}, true
}

// lastDeregistration returns the latest deregistration of a server from which no heartbeat had been received.
func (s *Server) lastDeregistration() (Snapshot, bool) {
	var last Snapshot
	for id, at := range s.deregisteredAt {
		if last.Heartbeat.ID == "" || at.After(last.AsOf) {
			last = Snapshot{Heartbeat: Heartbeat{ID: id}, Left: true, AsOf: at}
		}
	}

	return last, last.Heartbeat.ID != ""
}

// recordDeregistration records a deregistration from a server other than the current one.
func (s *Server) recordDeregistration(id string, at time.Time) {
	if len(s.deregisteredAt) >= maxRemembered {
		clear(s.deregisteredAt)
	}
	s.deregisteredAt[id] = at
}
