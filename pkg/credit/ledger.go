package credit

import "github.com/pistachiotack/pistachiotack/pkg/call"

// surplusDivisor is the divisor of the surplus credits, beyond the need, that go along with an attempt.
const surplusDivisor = 4

// UnknownNeed requests enough credits for a chain of calls down to the depth limit.
const UnknownNeed = -1

// Request describes an attempt that needs credits.
type Request struct {
	// Retry is true if the operation was attempted before.
	Retry bool
	// Need is the expected number of attempts that the call itself causes, or UnknownNeed.
	Need int
}

// Reservation is the result of a request: the credits of one attempt, or the reason why there are none.
type Reservation struct {
	// Number identifies the attempt in this ledger.
	Number int
	// Grant is the sub-grant, the credits that are passed on with the attempt.
	Grant Grant
	// Reason is call.ReasonOK, or the reason why the request was refused.
	Reason call.Reason
	// Pending is true if a refused request may succeed once an attempt in flight returns its sub-grant.
	Pending bool
}

// OK reports whether the attempt may be made.
func (r Reservation) OK() bool {
	return r.Reason == call.ReasonOK
}

// Ledger holds the credits of one execution. It is not safe for concurrent use.
type Ledger struct {
	remaining      Grant
	depth          int
	maxDepth       int
	lastNumber     int
	grantsInFlight map[int]Grant
	closed         bool
}

// NewLedger returns the ledger of an execution at the given depth of the call tree, zero at the entry node.
func NewLedger(grant Grant, depth, maxDepth int) *Ledger {
	return &Ledger{
		remaining:      grant.Clamp(grant),
		depth:          depth,
		maxDepth:       maxDepth,
		grantsInFlight: map[int]Grant{},
	}
}

// Remaining returns the credits that are neither spent nor in flight.
func (l *Ledger) Remaining() Grant {
	return l.remaining
}

// InFlight returns the number of attempts whose sub-grant was neither returned nor forfeited.
func (l *Ledger) InFlight() int {
	return len(l.grantsInFlight)
}

// Reserve takes the credits for one attempt and its sub-grant, or returns the reason for a refusal.
func (l *Ledger) Reserve(request Request) Reservation {
	if reason := l.refusalReason(request); reason != call.ReasonOK {
		pending := reason == call.ReasonNoCredits && !l.closed && len(l.grantsInFlight) > 0

		return Reservation{Reason: reason, Pending: pending}
	}
	l.remaining.Attempts--
	if request.Retry {
		l.remaining.Retries--
	}
	grant := l.subGrant(request.Need)
	l.remaining = l.remaining.Sub(grant)
	l.lastNumber++
	l.grantsInFlight[l.lastNumber] = grant

	return Reservation{Number: l.lastNumber, Grant: grant, Reason: call.ReasonOK}
}

// refusalReason returns why the request must be refused, call.ReasonOK if it need not be.
func (l *Ledger) refusalReason(request Request) call.Reason {
	if l.depth >= l.maxDepth {
		return call.ReasonTooDeep
	}
	if l.closed || l.remaining.Attempts < 1 {
		return call.ReasonNoCredits
	}
	if request.Retry && l.remaining.Retries < 1 {
		return call.ReasonNoCredits
	}

	return call.ReasonOK
}

// subGrant returns the credits to pass on: the need and a part of the surplus. The rest stays for sibling calls and retries.
func (l *Ledger) subGrant(need int) Grant {
	minAttempts := l.maxDepth - l.depth - 1
	if need != UnknownNeed {
		minAttempts = min(minAttempts, need)
	}
	attempts := l.remaining.Attempts
	if attempts > minAttempts {
		attempts = minAttempts + (attempts-minAttempts)/surplusDivisor
	}
	retries := (l.remaining.Retries + 1) / 2

	return Grant{Attempts: attempts, Retries: min(retries, attempts)}
}

// Return adds the unspent credits of an attempt to the ledger, at most those of its sub-grant. Only the first return of an
// attempt has an effect.
func (l *Ledger) Return(number int, unspent Grant) {
	granted, inFlight := l.grantsInFlight[number]
	if !inFlight {
		return
	}
	delete(l.grantsInFlight, number)
	if l.closed {
		return
	}
	l.remaining = l.remaining.Add(unspent.Clamp(granted))
}

// ReturnAll returns the whole sub-grant of an attempt that is certain never to run.
func (l *Ledger) ReturnAll(number int) {
	l.Return(number, l.grantsInFlight[number])
}

// Forfeit drops the sub-grant of an attempt whose response is lost.
func (l *Ledger) Forfeit(number int) {
	delete(l.grantsInFlight, number)
}

// Close closes the ledger and returns the remaining credits; sub-grants in flight are lost.
func (l *Ledger) Close() Grant {
	if l.closed {
		return Grant{}
	}
	l.closed = true
	remaining := l.remaining
	l.remaining = Grant{}

	return remaining
}
