package tree

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Policy is the effective settings for one place, service and kind of request.
type Policy struct {
	Service string
	Kind    string

	// Priority, Once and Idempotent say what the request is.
	Priority   call.Class
	Once       bool
	Idempotent bool

	// Deadline is the longest time a root request may take.
	Deadline time.Duration
	// Progress is how long an attempt may stay silent before its state is asked for.
	Progress time.Duration

	// Attempts is the total for one root request over all hops, first attempts included.
	Attempts int
	// Retries is how many of the attempts may repeat an operation.
	Retries int
	// Depth is the deepest chain of hops allowed.
	Depth int
	// RetryRatio bounds retries as a share of first attempts for each entry and service.
	RetryRatio float64
	// RetryBackoff is the mean wait before the first retry.
	RetryBackoff time.Duration

	// Stream says that answers are archives, passed on in windows and resumed by Range.
	Stream bool
	// StreamShare is the largest share of slots that streams of the service may hold.
	StreamShare float64
	// BufferAnswer is the largest answer in bytes that is buffered whole.
	BufferAnswer int64
	// BufferTotal is the most bytes a node holds in buffers.
	BufferTotal int64

	// LimitMin and LimitMax bound the adaptive concurrency limit, LimitMax zero means the slots.
	LimitMin int
	LimitMax int
	// QueueLength is the most requests that wait at one executing node.
	QueueLength int
	// QueueWait is the longest time a request waits in the queue.
	QueueWait time.Duration
	// RetryAfter is the mean of the jittered time that refused callers are told to wait.
	RetryAfter time.Duration

	// SlowStart is the ramp of a target that has just become ready.
	SlowStart time.Duration
	// SpillAt is the utilisation of the near data centre above which calls go outward.
	SpillAt float64
	// EjectAfter is the number of consecutive faults that ejects a target.
	EjectAfter int
	// EjectFor is how long the first ejection lasts.
	EjectFor time.Duration
	// EjectShare is the largest share of a service's targets that may be ejected at once.
	EjectShare float64
	// Subset is the number of targets an entry keeps connections to, zero for all.
	Subset int

	// DrainDeadline is how long a leaving node waits for requests in flight.
	DrainDeadline time.Duration
	// DrainTarget names nodes or data centres that take no new work by order of an operator.
	DrainTarget []string

	// GuardGoodput is the share of important requests that must succeed during a trial.
	GuardGoodput float64
	// TrialShare is the share of nodes on which a proposal acts while on trial.
	TrialShare float64
	// TrialTime is how long a proposal stays on trial.
	TrialTime time.Duration
	// AnswerMemory is how long answers of once-kinds are remembered.
	AnswerMemory time.Duration
}

// Sizes in bytes.
const (
	KiB int64 = 1 << 10
	MiB int64 = 1 << 20
)

// DefaultPolicy returns the policy that serves without a tree.
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
