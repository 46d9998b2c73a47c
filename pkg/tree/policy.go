package tree

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Policy holds the effective settings for one place, service and kind of request.
type Policy struct {
	Service string
	Kind    string

	// Priority is the class of the request: under overload, lower classes are refused first. An operation must never run twice
	// if Once is set, and can safely run again if Idempotent is set.
	Priority   call.Class
	Once       bool
	Idempotent bool

	// Deadline is the maximum duration of a root request, the one at the root of a call tree.
	Deadline time.Duration
	// Progress is the time without progress after which the state of an attempt is queried.
	Progress time.Duration

	// Attempts is the maximum number of attempts for one root request over all hops, first attempts included.
	Attempts int
	// Retries is the maximum number of these attempts that are retries of an operation.
	Retries int
	// Depth is the maximum number of hops in a chain of calls.
	Depth int
	// RetryRatio is the maximum ratio of retries to first attempts, for each entry node and service.
	RetryRatio float64
	// RetryBackoff is the mean delay before the first retry.
	RetryBackoff time.Duration

	// Stream reports that responses are archives, which are forwarded in windows and resumed by Range requests.
	Stream bool
	// StreamShare is the maximum share of slots that streams of the service may use.
	StreamShare float64
	// BufferAnswer is the size in bytes of the largest response that is buffered whole.
	BufferAnswer int64
	// BufferTotal is the maximum size in bytes of all buffers of a node.
	BufferTotal int64

	// LimitMin and LimitMax bound the adaptive concurrency limit; if LimitMax is 0, the number of slots is the upper bound.
	LimitMin int
	LimitMax int
	// QueueLength is the maximum number of requests in the queue of one executing node.
	QueueLength int
	// QueueWait is the maximum time that a request spends in the queue.
	QueueWait time.Duration
	// RetryAfter is the mean of the jittered delay that refused callers are told to wait.
	RetryAfter time.Duration

	// SlowStart is the ramp-up time of a target that has just become ready.
	SlowStart time.Duration
	// SpillAt is the utilisation of the local data centre above which calls go to others.
	SpillAt float64
	// EjectAfter is the number of consecutive faults after which a target is ejected.
	EjectAfter int
	// EjectFor is the duration of the first ejection.
	EjectFor time.Duration
	// EjectShare is the maximum share of a service's targets that may be ejected at once.
	EjectShare float64
	// Subset is the number of targets that an entry node keeps connections to, 0 for all.
	Subset int

	// DrainDeadline is the maximum time that a draining node waits for requests in flight.
	DrainDeadline time.Duration
	// DrainTarget lists nodes or data centres that an operator has excluded from new requests.
	DrainTarget []string

	// GuardGoodput is the share of important requests (classes high and vital) that must succeed during a trial.
	GuardGoodput float64
	// TrialShare is the share of nodes that use a proposal while it is on trial.
	TrialShare float64
	// TrialTime is the duration of a trial.
	TrialTime time.Duration
	// AnswerMemory is how long responses of once operations are kept.
	AnswerMemory time.Duration
}

// Sizes in bytes.
const (
	KiB int64 = 1 << 10
	MiB int64 = 1 << 20
)

// DefaultPolicy returns the policy that applies where the tree states nothing.
func DefaultPolicy() Policy {
	return Policy{
		Priority:      call.ClassNormal,
		Idempotent:    false,
		Deadline:      2 * time.Second,
		Progress:      500 * time.Millisecond,
		Attempts:      64,
		Retries:       6,
		Depth:         27,
		RetryRatio:    0.1,
		RetryBackoff:  20 * time.Millisecond,
		StreamShare:   0.25,
		BufferAnswer:  256 * KiB,
		BufferTotal:   6 * MiB,
		LimitMin:      2,
		QueueLength:   128,
		QueueWait:     100 * time.Millisecond,
		RetryAfter:    time.Second,
		SlowStart:     2 * time.Second,
		SpillAt:       0.8,
		EjectAfter:    5,
		EjectFor:      time.Second,
		EjectShare:    0.34,
		DrainDeadline: 30 * time.Second,
		GuardGoodput:  0.95,
		TrialShare:    0.2,
		TrialTime:     5 * time.Second,
		AnswerMemory:  10 * time.Minute,
	}
}
