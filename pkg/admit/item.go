package admit

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Item is a call submitted for admission.
type Item struct {
	// Op identifies the item; it must be unique among the items in the gate.
	Op       call.ID
	Rank     call.Rank
	Kind     string
	Caller   string
	Deadline time.Time
	// Stream marks a call with a streaming response, which holds its slot until the transfer ends.
	Stream bool
	// Bytes is the buffer space that the call occupies from Offer to Release.
	Bytes int64
}

// Verdict is the admission decision on an item.
type Verdict uint8

// Verdicts on an item. Wait is followed by a Run or Refuse in a later result of the gate, unless the item is released first.
const (
	Run Verdict = iota
	Wait
	Refuse
)

var verdictNames = [...]string{"run", "wait", "refuse"}

// String returns the name used in logs.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Decision is the verdict on one item, its reason, and the load of the gate at that time.
type Decision struct {
	Op      call.ID
	Verdict Verdict
	Reason  call.Reason
	// Waited is the time that the item spent in the queue.
	Waited time.Duration
	// RetryAfter is how long a refused caller should wait before it retries, with jitter.
	RetryAfter time.Duration
	Running    int
	Queued     int
	Limit      int
	Threshold  call.Rank
}

// Settings are the bounds of a gate, taken from the settings tree.
type Settings struct {
	// QueueLength is the maximum number of queued items; a value below 1 counts as 1.
	QueueLength int
	// QueueWait is the maximum queueing time of the lower two classes; the upper two may wait longer.
	QueueWait time.Duration
	// StreamShare is the share of the slots that streams may always use.
	StreamShare float64
	// BufferTotal is the maximum of the bytes held by all items, unlimited if zero or less.
	BufferTotal int64
	// RetryAfter is the mean of the delay that refused callers are given.
	RetryAfter time.Duration
}

// Result classifies the end of an execution for the service-time estimates.
type Result uint8

// Results of an execution.
const (
	// ResultOK is a response in time.
	ResultOK Result = iota
	// ResultDeadlineExceeded is an execution that was ended by its deadline.
	ResultDeadlineExceeded
	// ResultOther is any other end, from which no service time can be learned.
	ResultOther
)

// Load is the state of the gate, which is reported to callers with each response.
type Load struct {
	Running int
	Queued  int
	Limit   int
	Streams int
	Bytes   int64
	// Threshold is the lowest rank worth sending to this node. The gate only reports it and refuses no item by it.
	Threshold call.Rank
}
