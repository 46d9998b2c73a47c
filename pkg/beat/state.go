package beat

import "github.com/pistachiotack/pistachiotack/pkg/states"

// State is a stage in the life of a backend server as its node knows it.
type State string

// Stages of a backend server.
const (
	// StateAbsent means that no backend server is known.
	StateAbsent State = "absent"
	// StateReady means that the server takes work.
	StateReady State = "ready"
	// StateLost means that the server could not be reached since its last heartbeat.
	StateLost State = "lost"
	// StateDraining means that the server is leaving or has left.
	StateDraining State = "draining"
)

type event string

const (
	eventBeat  event = "beat"
	eventLose  event = "lose"
	eventLeave event = "leave"
	eventBegin event = "begin"
)

// life is shared by all servers.
var life = newLife()

func newLife() states.Machine[State] {
	m := states.New[State]()
	m.Configure(StateAbsent).
		Permit(eventBeat, StateReady).
		Permit(eventBegin, StateReady).
		Permit(eventLeave, StateDraining).
		Ignore(eventLose)
	m.Configure(StateReady).
		Ignore(eventBeat).
		Ignore(eventBegin).
		Permit(eventLose, StateLost).
		Permit(eventLeave, StateDraining)
	m.Configure(StateLost).
		Permit(eventBeat, StateReady).
		Permit(eventBegin, StateReady).
		Permit(eventLeave, StateDraining).
		Ignore(eventLose)
	m.Configure(StateDraining).
		Permit(eventBegin, StateReady).
		Ignore(eventBeat).
		Ignore(eventLose).
		Ignore(eventLeave)

	return m
}

// follow returns the state after an event; every event is configured for every state.
func follow(from State, happened event) State {
	state, err := life.Fire(from, happened)
	if err != nil {
		return from
	}

	return state
}
