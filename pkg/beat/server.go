package beat

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/rate"
)

const (
	// replaceAfterIntervals is the number of heartbeat intervals without a heartbeat after which a process that started earlier
	// may replace the current one; the clock may have been set back between their starts.
	replaceAfterIntervals = 3
	// lostAfterIntervals is the number of heartbeat intervals without a heartbeat after which a server counts as lost.
	lostAfterIntervals = 4
)

// Options describes the local backend server.
type Options struct {
	Service string
	Address string
	// Interval is the time between two heartbeats.
	Interval time.Duration
	// ConfirmFirst makes the first process since the start of the node wait for a confirmation: it may have left before.
	ConfirmFirst bool
}

// Server is the state of the local backend server. It is not safe for concurrent use.
type Server struct {
	options         Options
	state           State
	lastHeartbeat   Heartbeat
	lastHeartbeatAt time.Time
	// ended holds the processes that have ended; their late heartbeats are rejected.
	ended map[process]bool
	// deregisteredAt maps the IDs of servers that deregistered without a known heartbeat to the time of the deregistration.
	deregisteredAt map[string]time.Time
	candidate      candidate
	// rateLimit is the limit that the current process stated in its last response.
	rateLimit rate.Limit
}

// process identifies one run of a backend server; startedAt is in Unix milliseconds.
type process struct {
	id        string
	startedAt int64
}

func processOf(heartbeat Heartbeat) process {
	return process{id: heartbeat.ID, startedAt: heartbeat.StartedAt.UnixMilli()}
}

// maxRemembered bounds the number of ended processes and of deregistrations; a full map is cleared.
const maxRemembered = 64

// NewServer returns a server in StateAbsent.
func NewServer(options Options) *Server {
	return &Server{options: options, state: StateAbsent, ended: map[process]bool{}, deregisteredAt: map[string]time.Time{}}
}

// State returns the current state.
func (s *Server) State() State {
	return s.state
}

// LastHeartbeat returns the latest accepted heartbeat.
func (s *Server) LastHeartbeat() Heartbeat {
	return s.lastHeartbeat
}

// HandleHeartbeat processes a heartbeat and returns whether it was accepted, or why not.
func (s *Server) HandleHeartbeat(now time.Time, heartbeat Heartbeat) Verdict {
	if heartbeat.Service != s.options.Service || heartbeat.Address != s.options.Address {
		return VerdictWrongServer
	}
	if heartbeat.StartedAt.IsZero() && heartbeat.ID == s.lastHeartbeat.ID && !s.lastHeartbeat.StartedAt.IsZero() {
		return VerdictIncomplete
	}
	if s.hasLeft(heartbeat) {
		return VerdictSuperseded
	}
	if s.state == StateAbsent || processOf(heartbeat) != processOf(s.lastHeartbeat) {
		return s.acceptFirst(now, heartbeat)
	}
	if heartbeat.Sequence <= s.lastHeartbeat.Sequence {
		return VerdictOutOfOrder
	}
	s.accept(now, heartbeat, eventHeartbeat)

	return VerdictAccepted
}

// acceptFirst accepts the first heartbeat of a process unless the current process has priority: it started later, or at the same time
// under another ID, and its heartbeats have not stopped.
func (s *Server) acceptFirst(now time.Time, heartbeat Heartbeat) Verdict {
	known := s.state != StateAbsent
	silent := now.Sub(s.lastHeartbeatAt) > replaceAfterIntervals*s.options.Interval
	if known && heartbeat.StartedAt.Before(s.lastHeartbeat.StartedAt) && !silent {
		return VerdictSuperseded
	}
	if known && heartbeat.ID != s.lastHeartbeat.ID && heartbeat.StartedAt.Equal(s.lastHeartbeat.StartedAt) && !silent && s.state == StateReady {
		return VerdictSuperseded
	}
	if s.mayHaveLeft(heartbeat) {
		s.candidate = s.candidate.with(now, heartbeat)
		if !s.candidate.confirmed(now, s.options.Interval) {
			return VerdictUnconfirmed
		}
	}
	s.replace(now, heartbeat)

	return VerdictAccepted
}

// replace makes the process of the heartbeat the current one.
func (s *Server) replace(now time.Time, heartbeat Heartbeat) {
	if s.state == StateDraining || s.state != StateAbsent && s.lastHeartbeat.StartedAt.Before(heartbeat.StartedAt) {
		s.markEnded(s.lastHeartbeat)
	}
	s.accept(now, heartbeat, eventNewProcess)
}

func (s *Server) accept(now time.Time, heartbeat Heartbeat, trigger event) {
	if processOf(heartbeat) != processOf(s.lastHeartbeat) {
		s.rateLimit = rate.Limit{}
	}
	s.candidate = candidate{}
	s.lastHeartbeat = heartbeat
	s.lastHeartbeatAt = now
	s.state = next(s.state, trigger)
	if heartbeat.Draining {
		s.state = next(s.state, eventLeave)
	}
}

// markEnded records that a process has ended.
func (s *Server) markEnded(heartbeat Heartbeat) {
	if len(s.ended) >= maxRemembered {
		clear(s.ended)
	}
	s.ended[processOf(heartbeat)] = true
}

// hasLeft reports whether the process of the heartbeat is known to have ended or deregistered.
func (s *Server) hasLeft(heartbeat Heartbeat) bool {
	return s.ended[processOf(heartbeat)] || s.hasDeregistered(heartbeat)
}

// hasDeregistered reports whether the ID deregistered before any heartbeat of it was received, and the process had started by then.
func (s *Server) hasDeregistered(heartbeat Heartbeat) bool {
	at, found := s.deregisteredAt[heartbeat.ID]

	return found && !heartbeat.StartedAt.After(at)
}

// Deregister processes a deregistration and reports whether it came from the current server.
func (s *Server) Deregister(now time.Time, id string) bool {
	s.dropCandidate(id)
	if s.state == StateAbsent || s.lastHeartbeat.ID != id {
		s.recordDeregistration(id, now)

		return false
	}
	s.state = next(s.state, eventLeave)

	return true
}

// MarkLost records that the server could not be reached; its next heartbeat makes it ready again.
func (s *Server) MarkLost() {
	s.state = next(s.state, eventLost)
}

// HandleWrongProcess processes a response from another process than the one with this ID, which the call was meant for. The server is
// marked as lost if that process is still the current one.
func (s *Server) HandleWrongProcess(id string) {
	if s.lastHeartbeat.ID == id {
		s.MarkLost()
	}
}

// HandleLeaving processes a response in which the process with this ID states that it leaves, and reports whether that is news of the
// current process. Like a deregistration it outweighs later heartbeats of the process.
func (s *Server) HandleLeaving(id string) bool {
	if s.state == StateAbsent || s.state == StateDraining || s.lastHeartbeat.ID != id {
		return false
	}
	s.state = next(s.state, eventLeave)

	return true
}

// HandleRateLimit processes the limit in a response of the process with this ID, and reports whether the limit of the current process
// has changed.
func (s *Server) HandleRateLimit(id string, limit rate.Limit) bool {
	if s.state == StateAbsent || s.lastHeartbeat.ID != id || s.rateLimit == limit {
		return false
	}
	s.rateLimit = limit

	return true
}

// RateLimit returns the limit that the current process has stated.
func (s *Server) RateLimit() rate.Limit {
	return s.rateLimit
}

// Tick marks a ready server as lost after lostAfterIntervals without a heartbeat, and reports whether the state changed.
func (s *Server) Tick(now time.Time) bool {
	if s.state != StateReady || now.Sub(s.lastHeartbeatAt) <= lostAfterIntervals*s.options.Interval {
		return false
	}
	s.MarkLost()

	return true
}
