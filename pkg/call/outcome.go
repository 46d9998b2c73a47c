package call

// Outcome says whether a call was run, as far as its caller may rely on it.
type Outcome string

const (
	// OutcomeRan means that the backend server ran the call and the answer is whole.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that the call was not run and never will be.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the call may have been run.
	OutcomeUnknown Outcome = "unknown"
)

// Valid reports whether the outcome is one of the three that are defined.
func (o Outcome) Valid() bool {
	return o == OutcomeRan || o == OutcomeNotRun || o == OutcomeUnknown
}

// Reason is a short machine-readable cause of a decision, the same in logs, metrics and answers.
type Reason string

// Reasons that more than one package uses.
const (
	ReasonOK               Reason = "ok"
	ReasonOverload         Reason = "overload"
	ReasonThreshold        Reason = "belowThreshold"
	ReasonQueueFull        Reason = "queueFull"
	ReasonQueueTimeout     Reason = "queueTimeout"
	ReasonHopeless         Reason = "hopeless"
	ReasonBufferFull       Reason = "bufferFull"
	ReasonFairShare        Reason = "fairShare"
	ReasonDraining         Reason = "draining"
	ReasonWarming          Reason = "warming"
	ReasonNoTarget         Reason = "noTarget"
	ReasonNoCredits        Reason = "noCredits"
	ReasonTooDeep          Reason = "tooDeep"
	ReasonRetryBudget      Reason = "retryBudget"
	ReasonDeadline         Reason = "deadlineExceeded"
	ReasonCancelled        Reason = "cancelled"
	ReasonFenced           Reason = "fenced"
	ReasonWrongIncarnation Reason = "wrongIncarnation"
	ReasonDuplicate        Reason = "duplicate"
	ReasonSilent           Reason = "silent"
	ReasonStalled          Reason = "stalled"
	ReasonConnect          Reason = "connectFailed"
	ReasonBroken           Reason = "connectionBroken"
	ReasonTorn             Reason = "tornAnswer"
	ReasonTooLarge         Reason = "answerTooLarge"
	ReasonBackendShed      Reason = "backendShed"
	ReasonBackendFault     Reason = "backendFault"
	ReasonUnknownService   Reason = "unknownService"
	ReasonBadRequest       Reason = "badRequest"
	ReasonNoParent         Reason = "noParent"
	ReasonNeedsTicket      Reason = "needsTicket"
	ReasonTicketExpired    Reason = "ticketExpired"
	ReasonStale            Reason = "staleAttempt"
	ReasonKeyClaimed       Reason = "keyClaimed"
	ReasonTableAway        Reason = "tableAway"
	ReasonHomeGone         Reason = "homeGone"
)
