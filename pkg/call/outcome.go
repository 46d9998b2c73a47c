package call

// Outcome says whether a call ran on a backend server, as far as this is certain.
type Outcome string

const (
	// OutcomeRan means that the backend server ran the call and that its response is complete.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that the call did not run and never will, so that a retry is safe.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Valid reports whether the outcome is one of the three defined values.
func (o Outcome) Valid() bool {
	return o == OutcomeRan || o == OutcomeNotRun || o == OutcomeUnknown
}

// Reason is the machine-readable reason for a decision, with the same text in logs, metrics and responses.
type Reason string

// Reasons that more than one package uses.
const (
	ReasonOK Reason = "ok"

	ReasonOverload Reason = "overload"
	// ReasonThreshold is the refusal of a request whose rank is below the threshold.
	ReasonThreshold    Reason = "belowThreshold"
	ReasonQueueFull    Reason = "queueFull"
	ReasonQueueTimeout Reason = "queueTimeout"
	// ReasonRateLimited is the refusal of a call that the rate limit of the backend server does not allow in time.
	ReasonRateLimited Reason = "rateLimited"
	// ReasonHopeless is the refusal of a request that could not finish before its deadline.
	ReasonHopeless   Reason = "hopeless"
	ReasonBufferFull Reason = "bufferFull"
	// ReasonFairShare is the refusal of a caller that uses more than its share.
	ReasonFairShare Reason = "fairShare"
	ReasonDraining  Reason = "draining"
	ReasonWarming   Reason = "warming"
	ReasonNoTarget  Reason = "noTarget"
	// ReasonNoCredits means that the root request has no attempts left to spend.
	ReasonNoCredits Reason = "noCredits"
	// ReasonTooDeep means that the call tree is deeper than allowed.
	ReasonTooDeep     Reason = "tooDeep"
	ReasonRetryBudget Reason = "retryBudget"
	ReasonDeadline    Reason = "deadlineExceeded"
	ReasonCancelled   Reason = "cancelled"
	// ReasonFenced means that the attempt was barred from running before it started.
	ReasonFenced Reason = "fenced"
	// ReasonWrongIncarnation means that the call was addressed to another incarnation of the node, such as one before a restart.
	ReasonWrongIncarnation Reason = "wrongIncarnation"
	ReasonDuplicate        Reason = "duplicate"
	// ReasonSilent means that nothing was received on the connection to the executing node.
	ReasonSilent Reason = "silent"
	// ReasonStalled means that the backend server of the executing node does not respond.
	ReasonStalled Reason = "stalled"
	ReasonConnect Reason = "connectFailed"
	ReasonBroken  Reason = "connectionBroken"
	// ReasonCrashed means that the backend server process ended while it ran the call.
	ReasonCrashed Reason = "crashed"
	// ReasonQuarantined is the refusal of a request that is known to crash the backend servers that run it.
	ReasonQuarantined Reason = "quarantined"
	// ReasonTorn means that the response ended before it was complete.
	ReasonTorn     Reason = "tornAnswer"
	ReasonTooLarge Reason = "answerTooLarge"
	// ReasonBackendShed means that the backend server itself refused the call under load.
	ReasonBackendShed Reason = "backendShed"
	// ReasonBackendFault means that the backend server responded with an error.
	ReasonBackendFault Reason = "backendFault"
	// ReasonFalseRefusal means that the backend server may have run the call and responded with a status that states otherwise.
	ReasonFalseRefusal   Reason = "falseRefusal"
	ReasonUnknownService Reason = "unknownService"
	ReasonBadRequest     Reason = "badRequest"
	// ReasonNoParent means that the operation named as parent is not running on the node.
	ReasonNoParent Reason = "noParent"
	// ReasonNeedsTicket means that a once operation came without a ticket, which names the node incarnation (its home) that
	// may run it.
	ReasonNeedsTicket   Reason = "needsTicket"
	ReasonTicketExpired Reason = "ticketExpired"
	// ReasonStale means that the attempt is older than the time for which attempts are remembered.
	ReasonStale Reason = "staleAttempt"
	// ReasonKeyClaimed means that another request holds the same idempotency key.
	ReasonKeyClaimed Reason = "keyClaimed"
	// ReasonTableAway means that the shared table of the platform is not available.
	ReasonTableAway Reason = "tableAway"
	// ReasonHomeGone means that the home of a once operation was restarted or has left.
	ReasonHomeGone Reason = "homeGone"
)
