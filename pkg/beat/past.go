package beat

import "time"

// Past is what a node must still know of its backend server after a restart.
type Past struct {
	Report Report
	// Left says that the process named in the report was leaving or had left at the time At.
	Left bool
	At   time.Time
}

// Resume takes in what was known before a restart, and reports whether the server is ready by it; alive says that the very
// process answers now. What was heard since the restart goes first.
func (s *Server) Resume(now time.Time, past Past, alive bool) bool {
	if past.Left {
		s.noteDeregistration(past.Report.ID, past.At)

		return false
	}
	if !alive || s.state != StateAbsent {
		return false
	}

	return s.Hear(now, past.Report) == VerdictTaken
}

// Past returns what the node must still know after a restart, false if nothing.
func (s *Server) Past(now time.Time) (Past, bool) {
	if s.state == StateAbsent {
		return s.lastDeregistration()
	}

	return Past{Report: s.report, Left: s.state == StateDraining, At: now}, true
}

// lastDeregistration returns the latest deregistration of a server that was not heard of before.
func (s *Server) lastDeregistration() (Past, bool) {
	var last Past
	for id, at := range s.deregistrations {
		if last.Report.ID == "" || at.After(last.At) {
			last = Past{Report: Report{ID: id}, Left: true, At: at}
		}
	}

	return last, last.Report.ID != ""
}

// noteDeregistration remembers the deregistration of a server of which nothing else is known.
func (s *Server) noteDeregistration(id string, at time.Time) {
	if len(s.deregistrations) >= leftMost {
		clear(s.deregistrations)
	}
	s.deregistrations[id] = at
}
