package beat

import "time"

const (
	// A process is confirmed by minConfirmingHeartbeats heartbeats, each newer than the one before, over minConfirmingIntervals heartbeat
	// intervals: late heartbeats of a process that has left are few.
	minConfirmingHeartbeats = 4
	minConfirmingIntervals  = 2.5
)

// candidate is a process that may have left before its node was started, so that it gets no work until it is confirmed.
type candidate struct {
	// heartbeat is the newest one, since the time of the first, and count the number of those that were newer than the one before.
	heartbeat Heartbeat
	since     time.Time
	count     int
}

// with returns the candidate after a further heartbeat.
func (c candidate) with(now time.Time, heartbeat Heartbeat) candidate {
	switch {
	case c.count == 0 || processOf(heartbeat) != processOf(c.heartbeat):
		return candidate{heartbeat: heartbeat, since: now, count: 1}
	case heartbeat.Sequence <= c.heartbeat.Sequence:
		return c
	}

	return candidate{heartbeat: heartbeat, since: c.since, count: c.count + 1}
}

// confirmed reports whether the heartbeats alone show that the process has not left.
func (c candidate) confirmed(now time.Time, interval time.Duration) bool {
	return c.count >= minConfirmingHeartbeats && now.Sub(c.since) >= time.Duration(minConfirmingIntervals*float64(interval))
}

// mayHaveLeft reports whether the heartbeat may be a late one of a process that has left: nothing is known since the start of the node, or a
// process with this ID has left.
func (s *Server) mayHaveLeft(heartbeat Heartbeat) bool {
	if heartbeat.Draining {
		return false
	}

	return s.state == StateAbsent && s.options.ConfirmFirst || s.state == StateDraining && heartbeat.ID == s.lastHeartbeat.ID
}

// Candidate returns the latest heartbeat of the process that has to be confirmed, false if there is none.
func (s *Server) Candidate() (Heartbeat, bool) {
	return s.candidate.heartbeat, s.candidate.count > 0
}

// Confirm makes the candidate with the ID the current process, as it has just passed a status check, and reports whether it did.
func (s *Server) Confirm(now time.Time, id string) bool {
	heartbeat, found := s.Candidate()
	if !found || heartbeat.ID != id || s.hasLeft(heartbeat) {
		return false
	}
	s.replace(now, heartbeat)

	return true
}

// dropCandidate forgets a candidate with the ID, which has left.
func (s *Server) dropCandidate(id string) {
	if s.candidate.heartbeat.ID == id {
		s.candidate = candidate{}
	}
}
