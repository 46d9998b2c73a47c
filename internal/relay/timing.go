package relay

import (
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/common/errors"
	cockroach "github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/budget"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Content lengths that hertz reports for a body that ends with its connection, and for a chunked body.
const (
	closeDelimitedLength = -2
	chunkedLength        = -1
)

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}

func successful(status int) bool {
	return status >= 200 && status < 300
}

func isTimeout(err error) bool {
	var timeout net.Error

	return cockroach.Is(err, errors.ErrTimeout) || (cockroach.As(err, &timeout) && timeout.Timeout())
}

// bodyReason distinguishes an incomplete response from one that is too large to be buffered. A body that states no length and
// exceeds the limit counts as incomplete, since it may never end.
func bodyReason(err error) call.Reason {
	switch {
	case cockroach.Is(err, errTooLong):
		return call.ReasonTooLarge
	case cockroach.Is(err, budget.ErrFull):
		return call.ReasonBufferFull
	default:
		return call.ReasonTorn
	}
}

// waitReason distinguishes a broken connection, an exceeded deadline and an attempt that CheckProgress has ended.
func waitReason(err error) call.Reason {
	var refusal *call.Refusal
	switch {
	case cockroach.As(err, &refusal):
		return refusal.Reason
	case cockroach.Is(err, errDeadlineExceeded):
		return call.ReasonDeadline
	default:
		return call.ReasonBroken
	}
}
