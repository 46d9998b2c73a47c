package exec

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Item is a call submitted for admission.
type Item struct {
	Envelope call.Envelope
	Policy   tree.Policy
	Deadline time.Time
	// Bytes is the size of the request body.
	Bytes int64
}

// Admission is the permission to run a call.
type Admission struct {
	// Release frees the slot of the call and reports how the call ended. It must be called exactly once.
	Release func(Completion)
	Reason  call.Reason
	Detail  string
}

// Completion describes how an admitted call ended.
type Completion struct {
	Latency time.Duration
	// Load is the load that the backend server reported, negative for none.
	Load float64
	// Shed says that the backend server itself refused the call.
	Shed bool
	// Failed says that the call ended without a complete response.
	Failed bool
	// DeadlineExceeded says that the deadline passed, or that the backend server responded with status 504.
	DeadlineExceeded bool
	// Status is the HTTP status of the response, zero for none. Bytes is the size of its body.
	Status int
	Bytes  int64
	// DownstreamThreshold is the lowest rank that a downstream service admits, zero unless one refused a nested call.
	DownstreamThreshold call.Rank
}

// Load is the load that an executing node reports with each response.
type Load struct {
	// Threshold is the lowest rank that the node admits.
	Threshold call.Rank
	// KindThreshold is the lowest rank for which calls of the kind are worth running; below it, nested calls are refused.
	KindThreshold call.Rank

	Inflight int
	Queued   int
	Limit    int
}

// Admitter decides whether and when a call runs.
type Admitter interface {
	// Admit blocks until the call may run or is refused.
	Admit(ctx context.Context, item Item) (Admission, *call.Refusal)
	// Load returns the current load, including the threshold of the kind.
	Load(kind string) Load
}

// FixedAdmitter is the baseline for comparisons. It runs as many calls as there are slots, in order of arrival; the rest wait
// until their deadline.
type FixedAdmitter struct {
	slots    chan struct{}
	inflight atomic.Int64
	queued   atomic.Int64
}

// NewFixedAdmitter returns an admitter with the given number of slots.
func NewFixedAdmitter(slots int) *FixedAdmitter {
	return &FixedAdmitter{slots: make(chan struct{}, slots)}
}

// Admit waits for a slot until the context ends.
func (a *FixedAdmitter) Admit(ctx context.Context, _ Item) (Admission, *call.Refusal) {
	a.queued.Add(1)
	defer a.queued.Add(-1)
	select {
	case a.slots <- struct{}{}:
		a.inflight.Add(1)

		return Admission{Release: a.release, Reason: call.ReasonOK}, nil
	case <-ctx.Done():
		return Admission{}, call.NewRefusal(call.OutcomeNotRun, call.ReasonQueueTimeout)
	}
}

// Load returns the number of running and queued calls.
func (a *FixedAdmitter) Load(string) Load {
	return Load{Inflight: int(a.inflight.Load()), Queued: int(a.queued.Load()), Limit: cap(a.slots)}
}

func (a *FixedAdmitter) release(Completion) {
	a.inflight.Add(-1)
	<-a.slots
}
