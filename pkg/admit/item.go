package admit

import (
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Item is one call that asks to be run.
type Item struct {
	Op       call.ID
	Rank     call.Rank
	Kind     string
	Caller   string
	Deadline time.Time
	// Stream marks a long answer that holds its slot for the time of its transfer.
	Stream bool
	// Bytes is what the call holds in buffers from its offer to its release.
	Bytes int64
}

// Verdict is what becomes of an item.
type Verdict uint8

// Verdicts on an item.
const (
	Run Verdict = iota
	Wait
	Refuse
)

var verdictNames = [...]string{"run", "wait", "refuse"}

// String returns the name that logs use.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Decision is the verdict on one item, its cause, and the load that led to it.
type Decision struct {
	Op      call.ID
	Verdict Verdict
	Reason  call.Reason
	Waited  time.Duration
	// RetryAfter is the jittered time that a refused caller is told to wait.
	RetryAfter time.Duration
	Running    int
	Queued     int
	Limit      int
	Threshold  call.Rank
}

// Settings bound the gate; they come from the settings tree.
type Settings struct {
	QueueLength int
	QueueWait   time.Duration
	StreamShare float64
	BufferTotal int64
	RetryAfter  time.Duration
}

// Result tells how an execution ended.
type Result uint8

// Results of an execution.
const (
	// ResultOK is an answer in time.
	ResultOK Result = iota
	// ResultDeadlineExceeded is an execution that its deadline ended.
	ResultDeadlineExceeded
	// ResultOther says nothing about the time that the kind needs.
	ResultOther
)

// Load is the state that rides back on answers.
type Load struct {
	Running   int
	Queued    int
	Limit     int
	Streams   int
	Bytes     int64
	Threshold call.Rank
}
