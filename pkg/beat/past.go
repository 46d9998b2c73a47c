package beat

import "time"

// Snapshot is what a node must still know of its backend server after a restart.
type Snapshot struct {
	Heartbeat Heartbeat
	// Left says that the process named in the report was leaving or had left at the time At.
	Left bool
	AsOf time.Time
}

// Restore takes in what was known before a restart, and reports whether the server is ready by it; alive says that the very
// process answers now. What was heard since the restart goes first.
func (s *Server) Restore(now time.Time, past Snapshot, alive bool) bool {
	if past.Left {
		s.noteDeregistration(past.Heartbeat.ID, past.AsOf)

		return false
	}
	if !alive || s.state != StateAbsent {
		return false
	}

	return s.HandleHeartbeat(now, past.Heartbeat) == VerdictAccepted
}

// Snapshot returns what the node must still know after a restart, false if nothing.
func (s *Server) Snapshot(now time.Time) (Snapshot, bool) {
	if s.state == StateAbsent {
		return s.lastDeregistration()
	}

	return Snapshot{Heartbeat: s.report, Left: s.state == StateDraining, AsOf: now}, true
}

// lastDeregistration returns the latest deregistration of a server that was not heard of before.
func (s *Server) lastDeregistration() (Snapshot, bool) {
	var last Snapshot
	for id, at := range s.deregistrations {
		if last.Heartbeat.ID == "" || at.After(last.AsOf) {
			last = Snapshot{Heartbeat: Heartbeat{ID: id}, Left: true, AsOf: at}
		}
	}

	return last, last.Heartbeat.ID != ""
}

// noteDeregistration remembers the deregistration of a server of which nothing else is known.
func (s *Server) noteDeregistration(id string, at time.Time) {
	if len(s.deregistrations) >= leftMost {
		clear(s.deregistrations)
	}
	s.deregistrations[id] = at
}
