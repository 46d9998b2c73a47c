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

// problem is the body of a refusal according to RFC 9457, with the extension members outcome, reason and operation.
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

// Status returns the HTTP status of a refusal with that reason, 503 by default.
func Status(reason call.Reason) int {
	if status, found := statusByReason[reason]; found {
		return status
	}

	return statusUnavailable
}

// WriteRefusal writes a refusal with a problem body into the response.
func WriteRefusal(response *protocol.Response, refusal *call.Refusal, operation call.ID) {
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
	response.SetStatusCode(status)
	response.Header.SetContentType(problemType)
	SetField(&response.Header, HeaderOutcome, string(refusal.Outcome))
	SetField(&response.Header, HeaderOperation, string(operation))
	setRetryAfter(&response.Header, refusal.RetryAfter)
	response.SetBodyRaw(body)
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

// setRetryAfter sets both headers for the delay; Retry-After is rounded up to whole seconds.
func setRetryAfter(header *protocol.ResponseHeader, delay time.Duration) {
	if delay <= 0 {
		return
	}
	SetField(header, HeaderRetryAfter, strconv.Itoa(int(math.Ceil(delay.Seconds()))))
	SetField(header, HeaderRetryAfterDuration, delay.Round(time.Millisecond).String())
}
