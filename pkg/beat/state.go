package beat

import "github.com/pistachiotack/pistachiotack/pkg/states"

// State is the lifecycle state of a backend server as its node sees it.
type State string

// States of a backend server.
const (
	// StateAbsent means that no heartbeat has been accepted yet.
	StateAbsent State = "absent"
	// StateReady means that the server accepts requests.
	StateReady State = "ready"
	// StateLost means that the heartbeats stopped or a call failed to reach the process; the next heartbeat makes it ready again.
	StateLost State = "lost"
	// StateDraining means that the server is draining or has deregistered.
	StateDraining State = "draining"
)

// event is an event of the lifecycle state machine.
type event string

const (
	eventHeartbeat  event = "beat"
	eventLost       event = "lose"
	eventLeave      event = "leave"
	eventNewProcess event = "begin"
)

// lifecycle is stateless, so all servers share it.
var lifecycle = newLifecycle()

func newLifecycle() states.Machine[State] {
	machine := states.New[State]()
	machine.Configure(StateAbsent).
		Permit(eventHeartbeat, StateReady).
		Permit(eventNewProcess, StateReady).
		Permit(eventLeave, StateDraining).
		Ignore(eventLost)
	machine.Configure(StateReady).
		Ignore(eventHeartbeat).
		Ignore(eventNewProcess).
		Permit(eventLost, StateLost).
		Permit(eventLeave, StateDraining)
	machine.Configure(StateLost).
		Permit(eventHeartbeat, StateReady).
		Permit(eventNewProcess, StateReady).
		Permit(eventLeave, StateDraining).
		Ignore(eventLost)
	machine.Configure(StateDraining).
		Permit(eventNewProcess, StateReady).
		Ignore(eventHeartbeat).
		Ignore(eventLost).
		Ignore(eventLeave)

	return machine
}

// next returns the state after an event; every event is configured for every state.
func next(from State, trigger event) State {
	state, err := lifecycle.Fire(from, trigger)
	if err != nil {
		return from
	}

	return state
}
