package beat

import "time"

const (
	// silentBeats is the number of heartbeat intervals without one after which a process may be replaced by one born earlier.
	silentBeats = 3
	// lostBeats is the number of heartbeat intervals without one after which a server counts as lost.
	lostBeats = 4
)

// Options describe the backend server beside a node.
type Options struct {
	Service string
	Address string
	// Interval is the time between two heartbeats.
	Interval time.Duration
}

// Server is the backend server beside a node; its owner serialises calls.
type Server struct {
	options Options
	state   State
	report  Report
	heard   time.Time
	// left are the processes that are known to have ended, none of which may come back.
	left map[process]bool
	// deregistrations holds when servers deregistered of which nothing was known.
	deregistrations map[string]time.Time
}

// process identifies one run of a backend server.
type process struct {
	id   string
	born int64
}

func processOf(r Report) process {
	return process{id: r.ID, born: r.Born.UnixMilli()}
}

// leftMost bounds the memory of ended processes.
const leftMost = 64

// NewServer returns a server of which nothing is known.
func NewServer(options Options) *Server {
	return &Server{options: options, state: StateAbsent, left: map[process]bool{}, deregistrations: map[string]time.Time{}}
}

// State returns the stage of the server.
func (s *Server) State() State {
	return s.state
}

// Report returns the latest heartbeat that was taken.
func (s *Server) Report() Report {
	return s.report
}

// Hear takes a heartbeat and says what became of it.
func (s *Server) Hear(now time.Time, r Report) Verdict {
	if r.Service != s.options.Service || r.Address != s.options.Address {
		return VerdictForeign
	}
	if s.left[processOf(r)] || s.hasDeregistered(r) {
		return VerdictFormer
	}
	if s.state == StateAbsent || processOf(r) != processOf(s.report) {
		return s.replace(now, r)
	}
	if r.Sequence <= s.report.Sequence {
		return VerdictLate
	}
	s.take(now, r, eventBeat)

	return VerdictTaken
}

// replace takes the first heartbeat of a process, unless the one that is known is younger and still heard of.
func (s *Server) replace(now time.Time, r Report) Verdict {
	known := s.state != StateAbsent
	silent := now.Sub(s.heard) > silentBeats*s.options.Interval
	if known && r.Born.Before(s.report.Born) && !silent {
		return VerdictFormer
	}
	if known && r.ID != s.report.ID && r.Born.Equal(s.report.Born) && !silent && s.state == StateReady {
		return VerdictFormer
	}
	if known && (s.state == StateDraining || s.report.Born.Before(r.Born)) {
		s.forget(s.report)
	}
	s.take(now, r, eventBegin)

	return VerdictTaken
}

func (s *Server) take(now time.Time, r Report, happened event) {
	s.report = r
	s.heard = now
	s.state = follow(s.state, happened)
	if r.Draining {
		s.state = follow(s.state, eventLeave)
	}
}

// forget remembers a process as ended.
func (s *Server) forget(r Report) {
	if len(s.left) >= leftMost {
		clear(s.left)
	}
	s.left[processOf(r)] = true
}

// hasDeregistered reports whether a process had left before its first heartbeat was heard; one that started since has not.
func (s *Server) hasDeregistered(r Report) bool {
	at, left := s.deregistrations[r.ID]

	return left && !r.Born.After(at)
}

// Leave takes the word of a server that it has left, and reports whether it was the one beside the node.
func (s *Server) Leave(now time.Time, id string) bool {
	if s.state == StateAbsent || s.report.ID != id {
		s.noteDeregistration(id, now)

		return false
	}
	s.state = follow(s.state, eventLeave)

	return true
}

// Lose notes that the server could not be reached; its next heartbeat brings it back.
func (s *Server) Lose() {
	s.state = follow(s.state, eventLose)
}

// Misplaced notes that another process than the one known answers at the address.
func (s *Server) Misplaced(id string) {
	if s.report.ID == id {
		s.Lose()
	}
}

// Tick loses a server that has not been heard of for long, and reports whether that changed its state.
func (s *Server) Tick(now time.Time) bool {
	if s.state != StateReady || now.Sub(s.heard) <= lostBeats*s.options.Interval {
		return false
	}
	s.Lose()

	return true
}
