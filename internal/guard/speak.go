package guard

import (
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/queue"
	"github.com/pistachiotack/pistachiotack/pkg/rate"
)

const (
	// queueWait is the longest time that a call stays in the queue before its entry node tries another node.
	queueWait = 250 * time.Millisecond
	// minRemaining is the shortest time to the deadline with which a call is still started.
	minRemaining = 5 * time.Millisecond
	// maxRunningShare is the share of the slots that may be in use at once; some backend servers slow down when nearly full.
	maxRunningShare = 0.9
	// limitUnknownRunning is the number of calls that may run at once while the server's rate limit is not known, limitUnknownTime how long
	// that is at most.
	limitUnknownRunning = 3
	limitUnknownTime    = time.Second
	// queueLengthFactor is the maximum queue length as a multiple of the slots.
	queueLengthFactor = 2.0
	// dialTimeout limits the time to connect to the backend server, which is on the same VM.
	dialTimeout = 250 * time.Millisecond
	// maxFailedDials is the number of failed connection attempts in a row after which the backend server is marked as lost.
	maxFailedDials = 2
	// maxResponse is the largest response in bytes that is buffered.
	maxResponse = 48 << 20
	// maxBuffered bounds the bodies in bytes of all responses that are buffered at a time, so that a faulty server can't take the
	// memory of the VM.
	maxBuffered = maxResponse
)

const (
	reasonDraining = call.ReasonDraining
	reasonLost     = call.ReasonConnect
)

// Dialect reads and writes the headers that the platform defines for requests to backend servers and their responses.
type Dialect interface {
	// RequestID returns the ID by which a response is matched with its request.
	RequestID(header *protocol.RequestHeader) string
	// SetRequestHeaders sets the headers that the backend server expects.
	SetRequestHeaders(header *protocol.RequestHeader, info RequestInfo)
	// ParseResponse extracts the metadata of a response from its status and headers.
	ParseResponse(status int, header *protocol.ResponseHeader) ResponseInfo
}

// RequestInfo holds the values for the headers of a request to a backend server.
type RequestInfo struct {
	// Process is the ID of the only backend server process that may run the request.
	Process string
	// Remaining is the time to the deadline.
	Remaining time.Duration
	// Caller is the service of the entry node's VM.
	Caller string
}

// ResponseInfo is the metadata of a response from a backend server.
type ResponseInfo struct {
	// RequestID is empty if the response has none.
	RequestID string
	// Ambiguous is true if the response states several request IDs. It belongs to no request then.
	Ambiguous bool
	// NotRun is true if the backend server states that it did not run the request and will not, and nothing in the response contradicts it.
	NotRun bool
	// PromisesNotRun is true if clients conclude from the status alone that the request did not run and will not.
	PromisesNotRun bool
	// WrongProcess is true if the response is that of another process than the one in RequestInfo, which doesn't run the request. Whether
	// it states that too is in NotRun.
	WrongProcess bool
	// Process is the ID of the process that responded.
	Process string
	// Signed is true if the response carries the header that a backend server sets after it ran the request.
	Signed bool
	// Encoded is true if a content encoding shows that the body is not the one that the backend server sent.
	Encoded bool
	// RateLimit is the limit that the process states, and RateLimitErr why it cannot be read.
	RateLimit    rate.Limit
	RateLimitErr error
	// Leaving is true if the process states that it leaves.
	Leaving bool
}

// genuine reports whether the process that the call was meant for has evidently made the response to this call itself.
func (i ResponseInfo) genuine(requestID string) bool {
	return i.RequestID != "" && i.RequestID == requestID && !i.WrongProcess && (i.Signed || i.NotRun)
}

// refusalOutcome returns the outcome of a request that another process has answered: notRun only if that process states it.
func (i ResponseInfo) refusalOutcome() call.Outcome {
	if i.NotRun {
		return call.OutcomeNotRun
	}

	return call.OutcomeUnknown
}

// queueLimits returns the limits for a server with that many slots, whose rate limit may not be known yet.
func queueLimits(slots int, limitUnknown bool) queue.Limits {
	maxRunning := min(max(int(maxRunningShare*float64(slots)), 1), slots)
	if limitUnknown {
		maxRunning = min(maxRunning, limitUnknownRunning)
	}

	return queue.Limits{
		Slots:        slots,
		MaxRunning:   maxRunning,
		MaxWaiting:   max(int(queueLengthFactor*float64(slots)), 1),
		MaxWait:      queueWait,
		MinRemaining: minRemaining,
	}
}
