package call

import "time"

// Envelope is what a call carries from the entry node to the executing node.
type Envelope struct {
	Op      ID
	Root    Root
	Parent  ID
	Service string
	Kind    string
	// Caller names who sent the root request, for fairness within a class.
	Caller  string
	Attempt int
	Depth   int
	// Credits is the sub-grant of attempts that the execution may spend.
	Credits int
	Rank    Rank
	Once    bool
	// Remaining is the time left when the envelope was sent.
	Remaining time.Duration
	// Incarnation is the one of the executing node that the sender means, zero for any.
	Incarnation uint64
	// Revision is the settings revision under which the entry classified the call.
	Revision uint64
}

// Feedback is what the executing node sends back with every answer, refusals included.
type Feedback struct {
	Outcome     Outcome
	Reason      Reason
	Unspent     int
	Threshold   Rank
	Inflight    int
	Queued      int
	Limit       int
	State       string
	Incarnation uint64
	Revision    uint64
	// Digest is the xxhash of a buffered answer's body, zero for none.
	Digest     uint64
	RetryAfter time.Duration
	Final      bool
}
