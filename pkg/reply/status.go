package reply

import (
	"net/http"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Dialect knows the statuses of the clients' protocol.
type Dialect interface {
	// PromisesNotRun reports whether clients conclude from a status alone that the request has not run and never will.
	PromisesNotRun(status int) bool
}

// Check returns the refusal with which to replace a backend server's response, nil if the status of the response doesn't contradict the
// outcome of the request.
func Check(dialect Dialect, outcome call.Outcome, status int) *call.Refusal {
	if outcome == call.OutcomeNotRun || !dialect.PromisesNotRun(status) {
		return nil
	}

	return call.NewRefusal(outcome, call.ReasonFalseRefusal).WithDetail("backend server responded with status %d", status)
}

// Status returns the HTTP status of a refusal.
func Status(refusal *call.Refusal) int {
	switch {
	case refusal.Outcome == call.OutcomeNotRun && refusal.Reason == call.ReasonUnknownService:
		return http.StatusNotFound
	case refusal.Outcome == call.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case refusal.Reason == call.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
