package beat

import "time"

// Snapshot is the part of a server's state that survives a restart of the node.
type Snapshot struct {
	Heartbeat Heartbeat
	// Left says that the process named in the heartbeat was draining or had deregistered at the time AsOf.
	Left bool
	AsOf time.Time
}

// Restore applies a snapshot from before a restart of the node and reports whether it made the server ready; alive says that the same
// process responds now. A heartbeat received since the restart takes precedence over the snapshot.
func (s *Server) Restore(now time.Time, snapshot Snapshot, alive bool) bool {
	if snapshot.Left {
		s.recordDeregistration(snapshot.Heartbeat.ID, snapshot.AsOf)

		return false
	}
	if !alive || s.state != StateAbsent {
		return false
	}

	return s.HandleHeartbeat(now, snapshot.Heartbeat) == VerdictAccepted
}

// Snapshot returns the state to keep for a restart of the node, and false if there is none.
func (s *Server) Snapshot(now time.Time) (Snapshot, bool) {
	if s.state == StateAbsent {
		return s.lastDeregistration()
	}

	return Snapshot{Heartbeat: s.lastHeartbeat, Left: s.state == StateDraining, AsOf: now}, true
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
