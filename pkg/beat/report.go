package beat

import (
	"fmt"
	"time"
)

// Report is what a heartbeat says of its sender.
type Report struct {
	ID      string
	Service string
	// Address is where the sender says that it listens.
	Address string
	// Born is the start of the sender's process by its own clock; a restart under the same ID has another.
	Born time.Time
	// Sequence orders the heartbeats of one process.
	Sequence uint64
	Draining bool
	Slots    int
	// Cold is how much longer the sender expects to be slow after its start.
	Cold time.Duration
}

// String names the process that reports.
func (r Report) String() string {
	return fmt.Sprintf("%s born %d sequence %d", r.ID, r.Born.UnixMilli(), r.Sequence)
}

// Verdict says what became of a heartbeat.
type Verdict string

// Verdicts on a heartbeat.
const (
	// VerdictTaken is a heartbeat of the backend server beside the node.
	VerdictTaken Verdict = "taken"
	// VerdictLate is a heartbeat that a later one has overtaken.
	VerdictLate Verdict = "late"
	// VerdictFormer is a heartbeat of a process that another one has replaced.
	VerdictFormer Verdict = "former"
	// VerdictForeign is a heartbeat of a server of another service or at another address.
	VerdictForeign Verdict = "foreign"
)
