package member

import "time"

// Message is what two nodes tell each other in an exchange, in both directions.
type Message struct {
	// From is the sender's own entry.
	From Update
	// Updates are changes that the sender heard of lately.
	Updates []Update
}

// BucketCount is the number of parts into which a digest divides the entries.
const BucketCount = 64

// Digest sums up all the entries that a node knows.
type Digest struct {
	From Update
	Sums []uint64
}

// Difference answers a digest with the entries of the parts that differ.
type Difference struct {
	From    Update
	Buckets []int
	Updates []Update
}

// IndirectProbe asks a node to exchange with another one on the sender's behalf.
type IndirectProbe struct {
	Subject string
	Address string
}

// ActionKind says what an action asks of its executor.
type ActionKind string

// Kinds of action, each one call to another node.
const (
	// ActionExchange sends the message; the answer goes to Exchanged.
	ActionExchange ActionKind = "exchange"
	// ActionSync sends the digest; the answer goes to Synced.
	ActionSync ActionKind = "sync"
	// ActionIndirectProbe sends the request to reach a third node; the answer goes to Reached.
	ActionIndirectProbe ActionKind = "reach"
)

// Action is one call that the executor makes; if it fails, the action goes to Failed.
type Action struct {
	Kind          ActionKind
	Sent          time.Time
	To            string
	Address       string
	Message       Message
	Digest        Digest
	IndirectProbe IndirectProbe
}

// Event is a change of what a node believes of another one.
type Event struct {
	ID     string
	From   State
	To     State
	Reason Reason
}

// Reason says why an event came about.
type Reason string

// Reasons of events.
const (
	ReasonReceived           Reason = "heard"
	ReasonAnnounced          Reason = "announced"
	ReasonNoResponse         Reason = "noAnswer"
	ReasonSuspectTimeout     Reason = "suspectTooLong"
	ReasonUnreachableTimeout Reason = "dataCentreUnreachableTooLong"
	ReasonRefuted            Reason = "refuted"
	ReasonNameConflict       Reason = "nameUsedByAnotherProcess"
	ReasonObserverPaused     Reason = "observerWasPaused"
	ReasonTombstoneExpired   Reason = "tombstoneExpired"
)
