package beat

import (
	"fmt"
	"time"
)

// Heartbeat is what a heartbeat says of its sender.
type Heartbeat struct {
	ID      string
	Service string
	// Address is where the sender says that it listens.
	Address string
	// StartedAt is the start of the sender's process by its own clock; a restart under the same ID has another.
	StartedAt time.Time
	// Sequence orders the heartbeats of one process.
	Sequence uint64
	Draining bool
	Slots    int
	// WarmUpRemaining is how much longer the sender expects to be slow after its start.
	WarmUpRemaining time.Duration
}

// String names the process that reports.
func (r Heartbeat) String() string {
	return fmt.Sprintf("%s born %d sequence %d", r.ID, r.StartedAt.UnixMilli(), r.Sequence)
}

// Verdict says what became of a heartbeat.
type Verdict string

// Verdicts on a heartbeat.
const (
	// VerdictAccepted is a heartbeat of the backend server beside the node.
	VerdictAccepted Verdict = "taken"
	// VerdictOutOfOrder is a heartbeat that a later one has overtaken.
	VerdictOutOfOrder Verdict = "late"
	// VerdictSuperseded is a heartbeat of a process that another one has replaced.
	VerdictSuperseded Verdict = "former"
	// VerdictWrongServer is a heartbeat of a server of another service or at another address.
	VerdictWrongServer Verdict = "foreign"
)
