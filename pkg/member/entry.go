package member

import "time"

// State is the lifecycle state of a node.
type State string

// The states that a node announces about itself, in the usual order, then the two that its peers set on its entry.
const (
	StateStarting State = "starting"
	StateWarming  State = "warming"
	StateServing  State = "serving"
	StateDraining State = "draining"
	StateLeft     State = "left"
	StateSuspect  State = "suspect"
	StateDead     State = "dead"
)

// Ended reports whether the state is the last one of an incarnation.
func (s State) Ended() bool {
	return s == StateLeft || s == StateDead
}

// Entry is the membership record of one node. Only the node itself changes it, except that peers may set the state to suspect or dead.
type Entry struct {
	ID string
	// Incarnation identifies one run of the node's process; of two entries with one ID, the higher incarnation wins.
	Incarnation uint64
	// Version orders the changes within one incarnation.
	Version    uint64
	DataCentre string
	Service    string
	State      State
	// Declared is the last state that the node announced itself; State differs from it while the node is suspect or dead.
	Declared State
	// Peers is the address for forwarded calls, Control the address for net/rpc.
	Peers   string
	Control string
	// LeavingAt is when a planned stop of the node began, by its own clock; zero without one. The node still accepts calls until it
	// announces that it is draining.
	LeavingAt time.Time
	// Departed is the last backend server beside the node that has left, nil for none. An entry without one doesn't undo it.
	Departed *Departure
	// Slots is the number of requests that the node's backend server runs at once, Connections the connections configured for it.
	Slots       int
	Connections int
	// Revision is the settings revision in force at the node, as last reported. It changes without a new Version.
	Revision uint64
}

// AcceptsCalls reports whether new calls may be sent to the node. A suspect node counts by the state that it announced last.
func (e Entry) AcceptsCalls() bool {
	state := e.State
	if state == StateSuspect && e.Declared != "" {
		state = e.Declared
	}

	return state == StateServing || state == StateWarming || state == StateSuspect
}

// WithState returns a copy with a state announced by the node itself and the next version.
func (e Entry) WithState(state State) Entry {
	e.State = state
	e.Declared = state
	e.Version++

	return e
}

// withVerdict returns a copy with a state set by a peer (suspect or dead); the version stays the same.
func (e Entry) withVerdict(state State) Entry {
	e.State = state

	return e
}

// verdictRank orders states within one version: suspect overrides an announced state, dead overrides suspect.
func verdictRank(state State) int {
	switch state {
	case StateSuspect:
		return 1
	case StateDead:
		return 2
	default:
		return 0
	}
}

// supersedes reports whether e replaces old; both have the same ID.
func (e *Entry) supersedes(old *Entry) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	if old.State == StateLeft {
		return false
	}
	if e.Version != old.Version {
		return e.Version > old.Version
	}

	return verdictRank(e.State) > verdictRank(old.State)
}

// Update is an entry as sent to another node.
type Update struct {
	Entry *Entry
	// Age is the time since the entry entered an end state; zero for entries in any other state.
	Age time.Duration
}
