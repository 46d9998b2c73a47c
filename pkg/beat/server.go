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
	report  Heartbeat
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

func processOf(r Heartbeat) process {
	return process{id: r.ID, born: r.StartedAt.UnixMilli()}
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

// LastHeartbeat returns the latest heartbeat that was taken.
func (s *Server) LastHeartbeat() Heartbeat {
	return s.report
}

// HandleHeartbeat takes a heartbeat and says what became of it.
func (s *Server) HandleHeartbeat(now time.Time, r Heartbeat) Verdict {
	if r.Service != s.options.Service || r.Address != s.options.Address {
		return VerdictWrongServer
	}
	if s.left[processOf(r)] || s.hasDeregistered(r) {
		return VerdictSuperseded
	}
	if s.state == StateAbsent || processOf(r) != processOf(s.report) {
		return s.replace(now, r)
	}
	if r.Sequence <= s.report.Sequence {
		return VerdictOutOfOrder
	}
	s.take(now, r, eventBeat)

	return VerdictAccepted
}

// replace takes the first heartbeat of a process, unless the one that is known is younger and still heard of.
func (s *Server) replace(now time.Time, r Heartbeat) Verdict {
	known := s.state != StateAbsent
	silent := now.Sub(s.heard) > silentBeats*s.options.Interval
	if known && r.StartedAt.Before(s.report.StartedAt) && !silent {
		return VerdictSuperseded
	}
	if known && r.ID != s.report.ID && r.StartedAt.Equal(s.report.StartedAt) && !silent && s.state == StateReady {
		return VerdictSuperseded
	}
	if known && (s.state == StateDraining || s.report.StartedAt.Before(r.StartedAt)) {
		s.forget(s.report)
	}
	s.take(now, r, eventBegin)

	return VerdictAccepted
}

func (s *Server) take(now time.Time, r Heartbeat, happened event) {
	s.report = r
	s.heard = now
	s.state = follow(s.state, happened)
	if r.Draining {
		s.state = follow(s.state, eventLeave)
	}
}

// forget remembers a process as ended.
func (s *Server) forget(r Heartbeat) {
	if len(s.left) >= leftMost {
		clear(s.left)
	}
	s.left[processOf(r)] = true
}

// hasDeregistered reports whether a process had left before its first heartbeat was heard; one that started since has not.
func (s *Server) hasDeregistered(r Heartbeat) bool {
	at, left := s.deregistrations[r.ID]

	return left && !r.StartedAt.After(at)
}

// Deregister takes the word of a server that it has left, and reports whether it was the one beside the node.
func (s *Server) Deregister(now time.Time, id string) bool {
	if s.state == StateAbsent || s.report.ID != id {
		s.noteDeregistration(id, now)

		return false
	}
	s.state = follow(s.state, eventLeave)

	return true
}

// MarkLost notes that the server could not be reached; its next heartbeat brings it back.
func (s *Server) MarkLost() {
	s.state = follow(s.state, eventLose)
}

// HandleWrongProcess notes that another process than the one known answers at the address.
func (s *Server) HandleWrongProcess(id string) {
	if s.report.ID == id {
		s.MarkLost()
	}
}

// Tick loses a server that has not been heard of for long, and reports whether that changed its state.
func (s *Server) Tick(now time.Time) bool {
	if s.state != StateReady || now.Sub(s.heard) <= lostBeats*s.options.Interval {
		return false
	}
	s.MarkLost()

	return true
}
