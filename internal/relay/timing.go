package relay

import (
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/common/errors"
	cockroach "github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// closeDelimitedLength is the content length that hertz reports for a body that ends with its connection.
const closeDelimitedLength = -2

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

// bodyReason distinguishes an incomplete response from one that is too large to be buffered.
func bodyReason(err error) call.Reason {
	if cockroach.Is(err, errors.ErrBodyTooLarge) {
		return call.ReasonTooLarge
	}

	return call.ReasonTorn
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
