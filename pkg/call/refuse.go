package call

import (
	"fmt"
	"time"
)

// Refusal is the error of a call for which there is no response from a backend server.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
	// Final says that no node further up the call tree may retry the call.
	Final bool
	// Threshold is the lowest rank that is currently admitted, zero if unknown.
	Threshold Rank
}

// NewRefusal returns a refusal with the given outcome and reason.
func NewRefusal(outcome Outcome, reason Reason) *Refusal {
	return &Refusal{Outcome: outcome, Reason: reason}
}

// WithDetail returns a copy with a formatted human-readable detail.
func (r Refusal) WithDetail(format string, args ...any) *Refusal {
	r.Detail = fmt.Sprintf(format, args...)

	return &r
}

// WithRetryAfter returns a copy that asks the caller to wait that long before a retry.
func (r Refusal) WithRetryAfter(after time.Duration) *Refusal {
	r.RetryAfter = after

	return &r
}

// WithThreshold returns a copy with the lowest rank that is currently admitted.
func (r Refusal) WithThreshold(threshold Rank) *Refusal {
	r.Threshold = threshold

	return &r
}

// WithFinal returns a copy that forbids retries by nodes further up the call tree.
func (r Refusal) WithFinal() *Refusal {
	r.Final = true

	return &r
}

// Error returns the reason, outcome and detail on one line.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("call refused: %s (%s)", r.Reason, r.Outcome)
	}

	return fmt.Sprintf("call refused: %s (%s): %s", r.Reason, r.Outcome, r.Detail)
}
