package wire

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const problemType = "application/problem+json"

// problem is the body of a refusal by RFC 9457, with the product's extension members.
type problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Detail    string       `json:"detail,omitempty"`
	Outcome   call.Outcome `json:"outcome"`
	Reason    call.Reason  `json:"reason"`
	Operation call.ID      `json:"operation,omitempty"`
}

// HTTP statuses of refusals.
const (
	statusBadRequest  = 400
	statusNotFound    = 404
	statusConflict    = 409
	statusGone        = 410
	statusTooMany     = 429
	statusBadGateway  = 502
	statusUnavailable = 503
	statusTimeout     = 504
	statusLoop        = 508
)

var statusByReason = map[call.Reason]int{
	call.ReasonBadRequest:     statusBadRequest,
	call.ReasonNoParent:       statusBadRequest,
	call.ReasonUnknownService: statusNotFound,
	call.ReasonKeyClaimed:     statusConflict,
	call.ReasonDuplicate:      statusConflict,
	call.ReasonTicketExpired:  statusGone,
	call.ReasonHomeGone:       statusGone,
	call.ReasonFairShare:      statusTooMany,
	call.ReasonBroken:         statusBadGateway,
	call.ReasonTorn:           statusBadGateway,
	call.ReasonTooLarge:       statusBadGateway,
	call.ReasonBackendFault:   statusBadGateway,
	call.ReasonDeadline:       statusTimeout,
	call.ReasonSilent:         statusTimeout,
	call.ReasonStalled:        statusTimeout,
	call.ReasonTooDeep:        statusLoop,
}

// Status returns the HTTP status for a refusal's reason.
func Status(reason call.Reason) int {
	if status, known := statusByReason[reason]; known {
		return status
	}

	return statusUnavailable
}

// WriteRefusal makes the answer a refusal with a problem body.
func WriteRefusal(answer *protocol.Response, refusal *call.Refusal, operation call.ID) {
	status := Status(refusal.Reason)
	body, err := json.Marshal(problem{
		Type:      "about:blank",
		Title:     title(refusal),
		Status:    status,
		Detail:    refusal.Detail,
		Outcome:   refusal.Outcome,
		Reason:    refusal.Reason,
		Operation: operation,
	})
	if err != nil {
		body = nil
	}
	answer.SetStatusCode(status)
	answer.Header.SetContentType(problemType)
	answer.Header.Set(HeaderOutcome, string(refusal.Outcome))
	answer.Header.Set(HeaderOperation, string(operation))
	setRetryAfter(&answer.Header, refusal.RetryAfter)
	answer.SetBodyRaw(body)
}

func title(refusal *call.Refusal) string {
	switch refusal.Outcome {
	case call.OutcomeNotRun:
		return "The request was not run."
	case call.OutcomeUnknown:
		return "It is unknown whether the request was run."
	default:
		return "The request was run but has no answer."
	}
}

// setRetryAfter rounds up to whole seconds for the standard header.
func setRetryAfter(header *protocol.ResponseHeader, after time.Duration) {
	if after <= 0 {
		return
	}
	header.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(after.Seconds()))))
	header.Set(HeaderRetryAfterDuration, after.Round(time.Millisecond).String())
}
