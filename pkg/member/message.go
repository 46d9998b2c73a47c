package member

import "time"

// Message is the request and the response of an exchange between two nodes.
type Message struct {
	// From is the sender's own entry.
	From Update
	// Updates are queued changes of other entries.
	Updates []Update
}

// BucketCount is the number of buckets into which a digest divides the entries by the hash of their IDs.
const BucketCount = 64

// Digest holds one checksum per bucket over all entries of the sender.
type Digest struct {
	From Update
	Sums []uint64
}

// Difference is the response to a digest: the buckets whose checksums differ, and the responder's entries in them.
type Difference struct {
	From    Update
	Buckets []int
	Updates []Update
}

// IndirectProbe asks a node to exchange with a third node, the subject, on behalf of the sender.
type IndirectProbe struct {
	Subject string
	Address string
}

// ActionKind is the kind of call that an action requests.
type ActionKind string

// Kinds of action, each one call to another node.
const (
	// ActionExchange sends the message; the response goes to HandleExchangeResponse.
	ActionExchange ActionKind = "exchange"
	// ActionSync sends the digest; the response goes to HandleSyncResponse.
	ActionSync ActionKind = "sync"
	// ActionIndirectProbe sends the indirect probe; the response goes to HandleIndirectResponse.
	ActionIndirectProbe ActionKind = "reach"
)

// Action is one call for the owner of the fleet to make; if the call fails, the action goes to HandleCallFailure.
type Action struct {
	Kind          ActionKind
	Sent          time.Time
	To            string
	Address       string
	Message       Message
	Digest        Digest
	IndirectProbe IndirectProbe
}

// Event is a change of a node's state in this node's view.
type Event struct {
	ID     string
	From   State
	To     State
	Reason Reason
}

// Reason is the cause of an event.
type Reason string

// Reasons of events.
const (
	// ReasonReceived means that the state came from another node.
	ReasonReceived Reason = "heard"
	// ReasonAnnounced means that this node announced its own state.
	ReasonAnnounced Reason = "announced"
	// ReasonNoResponse means that the node did not respond although the path to it works, or that its data centre was unreachable for
	// UnreachableTimeout.
	ReasonNoResponse Reason = "noAnswer"
	// ReasonSuspectTimeout means that the node did not refute the suspicion within SuspectTimeout.
	ReasonSuspectTimeout Reason = "suspectTooLong"
	// ReasonUnreachableTimeout means that a suspect node was declared dead because its data centre stayed unreachable.
	ReasonUnreachableTimeout Reason = "dataCentreUnreachableTooLong"
	// ReasonRefuted means that this node refuted a suspicion or its own death.
	ReasonRefuted Reason = "refuted"
	// ReasonNameConflict means that another process uses the ID of this node.
	ReasonNameConflict Reason = "nameUsedByAnotherProcess"
	// ReasonDeparture means that another node knows that the backend server beside this one has left.
	ReasonDeparture Reason = "departureHeard"
	// ReasonObserverPaused means that this node itself was paused.
	ReasonObserverPaused Reason = "observerWasPaused"
	// ReasonTombstoneExpired means that the entry of an ended node was removed.
	ReasonTombstoneExpired Reason = "tombstoneExpired"
)
