package beat

import (
	"fmt"
	"time"
)

// Heartbeat is the content of a heartbeat from a backend server.
type Heartbeat struct {
	ID      string
	Service string
	// Address is the address at which the sender says that it listens.
	Address string
	// StartedAt is the start of the sender's process by its own clock, zero if it states none; a restart under the same ID has another
	// value.
	StartedAt time.Time
	// Sequence orders the heartbeats of one process.
	Sequence uint64
	Draining bool
	// Slots is the number of requests that the sender runs at once.
	Slots int
	// WarmUpRemaining is how much longer the sender expects to be slow after its start.
	WarmUpRemaining time.Duration
}

// String identifies the process and the heartbeat, for logs.
func (h Heartbeat) String() string {
	return fmt.Sprintf("%s born %d sequence %d", h.ID, h.StartedAt.UnixMilli(), h.Sequence)
}

// Verdict is the result of processing a heartbeat.
type Verdict string

// Results of processing a heartbeat.
const (
	// VerdictAccepted means that the heartbeat came from the local backend server.
	VerdictAccepted Verdict = "taken"
	// VerdictOutOfOrder means that the heartbeat is not newer than the latest accepted one.
	VerdictOutOfOrder Verdict = "late"
	// VerdictSuperseded means that the heartbeat came from a process that has ended or that another one has replaced.
	VerdictSuperseded Verdict = "former"
	// VerdictIncomplete means that the heartbeat lacks the start of the process, which this server has stated before.
	VerdictIncomplete Verdict = "incomplete"
	// VerdictUnconfirmed means that the process of the heartbeat may have left before its node was started, or that one with the same ID has
	// left.
	VerdictUnconfirmed Verdict = "unconfirmed"
	// VerdictWrongServer means that the heartbeat came from a server of another service or at another address.
	VerdictWrongServer Verdict = "foreign"
)
