package exec

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Item is a call that asks to be admitted.
type Item struct {
	Envelope call.Envelope
	Policy   tree.Policy
	Deadline  time.Time
	// Bytes is the size of the request's body.
	Bytes int64
}

// Admission is the leave to run a call.
type Admission struct {
	// Release must be called exactly once.
	Release func(Completion)
	Reason  call.Reason
	Detail  string
}

// Completion is what is known of a call when it gives its slot back.
type Completion struct {
	Latency time.Duration
	// Load is the backend server's own report, negative if it made none.
	Load float64
	// Shed says that the backend server refused the call itself.
	Shed bool
	// Failed says that the call ended without an answer.
	Failed bool
	// DeadlineExceeded says that the deadline ended the call.
	DeadlineExceeded bool
	// Status is the HTTP status of the answer, zero for none, and Bytes the size of its body.
	Status int
	Bytes  int64
	// DownstreamThreshold is the lowest rank that a service below takes, if it refused a call of this one.
	DownstreamThreshold call.Rank
}

// Load is what an executing node tells about its load with each answer.
type Load struct {
	Threshold call.Rank
	// KindThreshold is the lowest rank of the kind that is worth running.
	KindThreshold call.Rank

	Inflight int
	Queued   int
	Limit    int
}

// Admitter decides which calls run, and when.
type Admitter interface {
	// Admit returns once the call may run, or with the refusal.
	Admit(ctx context.Context, item Item) (Admission, *call.Refusal)
	// Load returns the load at this moment, with what concerns calls of the kind.
	Load(kind string) Load
}

// FixedAdmitter is the baseline: as many calls as there are slots, the rest wait in order until their deadline.
type FixedAdmitter struct {
	slots    chan struct{}
	inflight atomic.Int64
	queued   atomic.Int64
}

// NewFixedAdmitter returns an admitter for that many slots.
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

// Load returns the number of calls that run and wait.
func (a *FixedAdmitter) Load(string) Load {
	return Load{Inflight: int(a.inflight.Load()), Queued: int(a.queued.Load()), Limit: cap(a.slots)}
}

func (a *FixedAdmitter) release(Completion) {
	a.inflight.Add(-1)
	<-a.slots
}
