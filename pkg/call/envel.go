package call

import "time"

// Envelope is the metadata that a call carries from the entry node, which received it, to the executing node, which passes
// it on to its local backend server.
type Envelope struct {
	// Op identifies the operation, Root the root request that caused it, and Parent the operation that made this call.
	Op      ID     `json:"op,omitempty"`
	Root    Root   `json:"root,omitempty"`
	Parent  ID     `json:"parent,omitempty"`
	Service string `json:"service,omitempty"`
	Kind    string `json:"kind,omitempty"`
	// Caller is the client account that sent the root request; it is used for fairness within a class.
	Caller string `json:"caller,omitempty"`
	// Attempt numbers the attempts of the operation, Depth is the number of hops below the root request.
	Attempt int `json:"attempt,omitempty"`
	Depth   int `json:"depth,omitempty"`
	// Credits is the number of attempts that the executing node may make for nested calls.
	Credits int `json:"credits,omitempty"`
	// Retries is how many of the credits may be spent on retries.
	Retries int  `json:"retries,omitempty"`
	Rank    Rank `json:"rank,omitempty"`
	// Once marks a once operation, which may run at most once over all its attempts.
	Once bool `json:"once,omitempty"`
	// Remaining is the time left until the deadline when the envelope was sent.
	Remaining time.Duration `json:"remaining,omitempty"`
	// Issued is the time at which the attempt was sent, by the sender's clock.
	Issued time.Time `json:"issued,omitzero"`
	// Incarnation is the incarnation (process start) of the executing node that the call is meant for, zero for any.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Revision is the settings revision under which the entry node classified the call.
	Revision uint64 `json:"revision,omitempty"`
}

// Feedback is the metadata that the executing node sends with every response, including refusals.
type Feedback struct {
	// Op and Attempt identify the attempt that the response belongs to.
	Op      ID      `json:"op,omitempty"`
	Attempt int     `json:"attempt,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
	Reason  Reason  `json:"reason,omitempty"`
	// Unspent is how many of the credits of the envelope were not used.
	Unspent int `json:"unspent,omitempty"`
	// UnspentRetries is how many of the unspent credits may be spent on retries.
	UnspentRetries int `json:"unspentRetries,omitempty"`
	// Threshold is the lowest rank that the executing node admits.
	Threshold Rank `json:"threshold,omitempty"`
	// KindThreshold is the lowest rank for which calls of this kind are worth running: below it, the nested calls are refused.
	KindThreshold Rank `json:"kindThreshold,omitempty"`
	// Inflight and Queued count the calls on the executing node, Limit is its concurrency limit.
	Inflight int `json:"inflight,omitempty"`
	Queued   int `json:"queued,omitempty"`
	Limit    int `json:"limit,omitempty"`
	// State is the membership state of the executing node.
	State       string `json:"state,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Revision    uint64 `json:"revision,omitempty"`
	// Digest is the xxhash of the body of a buffered response, zero for none.
	Digest     uint64        `json:"digest,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Final says that no node may retry the call.
	Final bool `json:"final,omitempty"`
}
