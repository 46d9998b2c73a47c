package call

import (
	"fmt"
	"time"
)

// Refusal is the typed error for a call that gets no answer from a backend server.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
	// Final says that no hop above may retry the call.
	Final bool
	// Threshold is the lowest rank that is taken at present, zero if unknown.
	Threshold Rank
}

// NewRefusal returns a refusal with that outcome and reason.
func NewRefusal(outcome Outcome, reason Reason) *Refusal {
	return &Refusal{Outcome: outcome, Reason: reason}
}

// WithDetail returns a copy with the detail for the person who reads the answer.
func (r Refusal) WithDetail(format string, args ...any) *Refusal {
	r.Detail = fmt.Sprintf(format, args...)

	return &r
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (r Refusal) WithRetryAfter(after time.Duration) *Refusal {
	r.RetryAfter = after

	return &r
}

// WithThreshold returns a copy that tells the lowest rank that is taken at present.
func (r Refusal) WithThreshold(threshold Rank) *Refusal {
	r.Threshold = threshold

	return &r
}

// WithFinal returns a copy that no hop above may retry.
func (r Refusal) WithFinal() *Refusal {
	r.Final = true

	return &r
}

// Error returns outcome, reason and detail in one line.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("call refused: %s (%s)", r.Reason, r.Outcome)
	}

	return fmt.Sprintf("call refused: %s (%s): %s", r.Reason, r.Outcome, r.Detail)
}
