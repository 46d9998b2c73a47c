package guard

import (
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/queue"
)

const (
	// queueWait is the longest time that a call waits here before its entry tries another node.
	queueWait = 250 * time.Millisecond
	// leastTime is the time that must be left for a call to be worth running.
	leastTime = 5 * time.Millisecond
	// runningShare is the share of the slots that is used at once, as some servers turn slow when they are nearly full.
	runningShare = 0.9
	// queueShare is the length of the queue as a share of the slots.
	queueShare = 2.0
	// dialTimeout bounds a new connection to the backend server, which is on the same VM.
	dialTimeout = 250 * time.Millisecond
	// dialsMost is the number of failed connections in a row after which the backend server counts as lost.
	dialsMost = 2
	// maxAnswer is the largest answer in bytes that is buffered.
	maxAnswer = 64 << 20
)

const (
	reasonDraining = call.ReasonDraining
	reasonLost     = call.ReasonConnect
)

// Dialect is what the backend server speaks.
type Dialect interface {
	// RequestID returns the ID by which an answer is matched with its request.
	RequestID(header *protocol.RequestHeader) string
	// SetRequestHeaders makes a request fit for the backend server.
	SetRequestHeaders(header *protocol.RequestHeader, to RequestInfo)
	// ParseResponse takes what an answer says of itself.
	ParseResponse(status int, header *protocol.ResponseHeader) ResponseInfo
}

// RequestInfo says for whom a request is meant, and how long an answer is of use.
type RequestInfo struct {
	// Process is the ID of the backend server that alone may run the request.
	Process   string
	Remaining time.Duration
	// Caller is the service of the VM where the request began.
	Caller string
}

// ResponseInfo is what an answer says of itself.
type ResponseInfo struct {
	// RequestID is empty where the answer names none.
	RequestID string
	// NotRun says that the request was not run and will not be.
	NotRun bool
	// WrongProcess says that another process than the addressee answers, Process which.
	WrongProcess bool
	Process      string
	// Signed says that the answer bears the mark of a backend server that ran the request.
	Signed bool
	// Encoded says that the body is not the one that the backend server made.
	Encoded bool
}

func limits(slots int) queue.Limits {
	return queue.Limits{
		Slots:        slots,
		MaxRunning:   min(max(int(runningShare*float64(slots)), 1), slots),
		MaxWaiting:   max(int(queueShare*float64(slots)), 1),
		MaxWait:      queueWait,
		MinRemaining: leastTime,
	}
}
