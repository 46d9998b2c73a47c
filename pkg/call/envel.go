package call

import "time"

// Envelope is what a call carries from the entry node to the executing node.
type Envelope struct {
	Op      ID     `json:"op,omitempty"`
	Root    Root   `json:"root,omitempty"`
	Parent  ID     `json:"parent,omitempty"`
	Service string `json:"service,omitempty"`
	Kind    string `json:"kind,omitempty"`
	// Caller names who sent the root request, for fairness within a class.
	Caller  string `json:"caller,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	Depth   int    `json:"depth,omitempty"`
	// Credits is the sub-grant of attempts that the execution may spend.
	Credits int `json:"credits,omitempty"`
	// Retries is how many of the credits may be spent on repeating an operation.
	Retries int  `json:"retries,omitempty"`
	Rank    Rank `json:"rank,omitempty"`
	Once    bool `json:"once,omitempty"`
	// Remaining is the time left when the envelope was sent.
	Remaining time.Duration `json:"remaining,omitempty"`
	// Issued is the sender's time at sending.
	Issued time.Time `json:"issued,omitzero"`
	// Incarnation is the one of the executing node that the sender means, zero for any.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Revision is the settings revision under which the entry classified the call.
	Revision uint64 `json:"revision,omitempty"`
}

// Feedback is what the executing node sends back with every answer, refusals included.
type Feedback struct {
	// Op and Attempt name the attempt that the answer belongs to.
	Op      ID      `json:"op,omitempty"`
	Attempt int     `json:"attempt,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
	Reason  Reason  `json:"reason,omitempty"`
	Unspent int     `json:"unspent,omitempty"`
	// UnspentRetries is the part of the unspent credits that may go into retries.
	UnspentRetries int  `json:"unspentRetries,omitempty"`
	Threshold      Rank `json:"threshold,omitempty"`
	// KindThreshold is the lowest rank whose own calls get an answer, for the kind of this call.
	KindThreshold Rank   `json:"kindThreshold,omitempty"`
	Inflight      int    `json:"inflight,omitempty"`
	Queued        int    `json:"queued,omitempty"`
	Limit         int    `json:"limit,omitempty"`
	State         string `json:"state,omitempty"`
	Incarnation   uint64 `json:"incarnation,omitempty"`
	Revision      uint64 `json:"revision,omitempty"`
	// Digest is the xxhash of a buffered answer's body, zero for none.
	Digest     uint64        `json:"digest,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	Final      bool          `json:"final,omitempty"`
}
