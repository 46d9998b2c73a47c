package member

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
	// Peers is the address for forwarded calls, Control the one for net/rpc.
	Peers       string
	Control     string
	Slots       int
	Connections int
	// Revision is the settings revision in force at the node.
	Revision uint64
}

// TakesWork reports whether new calls may be sent to the node.
func (e Entry) TakesWork() bool {
	return e.State == StateServing || e.State == StateWarming || e.State == StateSuspect
}

// WithState returns a copy in that state and one version later.
func (e Entry) WithState(state State) Entry {
	e.State = state
	e.Version++

	return e
}
