package member

import "time"

// State is one stage in the life of a node.
type State string

// States in the order of an ordinary life, then the two that others may conclude.
const (
	StateStarting State = "starting"
	StateWarming  State = "warming"
	StateServing  State = "serving"
	StateDraining State = "draining"
	StateLeft     State = "left"
	StateSuspect  State = "suspect"
	StateDead     State = "dead"
)

// Ended reports whether the state is the end of an incarnation.
func (s State) Ended() bool {
	return s == StateLeft || s == StateDead
}

// Entry is what the fleet knows of one node, owned and changed by that node alone but for suspicion and death.
type Entry struct {
	ID string
	// Incarnation is new at each start of the node's process.
	Incarnation uint64
	// Version orders the changes within one incarnation.
	Version    uint64
	DataCentre string
	Service    string
	State      State
	// Declared is the state that the node itself announced last; State differs from it under suspicion and after death.
	Declared State
	// Peers is the address for forwarded calls, Control the one for net/rpc.
	Peers       string
	Control     string
	Slots       int
	Connections int
	// Revision is the settings revision in force at the node, as far as it was heard; it is outside the version's order.
	Revision uint64
}

// AcceptsCalls reports whether new calls may be sent to the node.
func (e Entry) AcceptsCalls() bool {
	state := e.State
	if state == StateSuspect && e.Declared != "" {
		state = e.Declared
	}

	return state == StateServing || state == StateWarming || state == StateSuspect
}

// WithState returns a copy in that state, announced by the node itself, and one version later.
func (e Entry) WithState(state State) Entry {
	e.State = state
	e.Declared = state
	e.Version++

	return e
}

// withVerdict returns a copy in a state that others concluded, of the same version.
func (e Entry) withVerdict(state State) Entry {
	e.State = state

	return e
}

// verdictRank orders states within one version: what others concluded goes before what the node said.
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

// newer reports whether e replaces old, both of one ID.
func (e *Entry) newer(old *Entry) bool {
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

// Update is an entry on its way to another node.
type Update struct {
	Entry *Entry
	// Age is the time since the entry ended, zero for the others.
	Age time.Duration
}
