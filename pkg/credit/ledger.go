package credit

import "github.com/pistachiotack/pistachiotack/pkg/call"

// keepShare is the divisor of the surplus that a first attempt may take along.
const keepShare = 4

// UnknownNeed asks for enough attempts to go as deep as the depth limit allows.
const UnknownNeed = -1

// Request describes the attempt that a ledger is asked to pay for.
type Request struct {
	// Retry says that the operation was attempted before.
	Retry bool
	// Need is how many attempts such a call is expected to spend below itself, or UnknownNeed.
	Need int
}

// Reservation is one attempt that the ledger has paid for.
type Reservation struct {
	// Number names the attempt towards the ledger.
	Number int
	// Grant is the sub-grant that goes along with the attempt.
	Grant Grant
	// Reason is call.ReasonOK, or why nothing was paid.
	Reason call.Reason
	// Pending says that a refused request may succeed once an attempt in flight returns its grant.
	Pending bool
}

// OK reports whether the attempt may be made.
func (p Reservation) OK() bool {
	return p.Reason == call.ReasonOK
}

// Ledger holds the credits of one execution; its owner serialises the calls.
type Ledger struct {
	left    Grant
	depth   int
	limit   int
	next    int
	flights map[int]Grant
	closed  bool
}

// NewLedger returns the ledger of an execution at that depth, zero at the entry, under that depth limit.
func NewLedger(grant Grant, depth, limit int) *Ledger {
	return &Ledger{
		left:    grant.Clamp(grant),
		depth:   depth,
		limit:   limit,
		flights: map[int]Grant{},
	}
}

// Remaining returns what may still be spent.
func (l *Ledger) Remaining() Grant {
	return l.left
}

// InFlight returns the number of attempts whose grant has not come back.
func (l *Ledger) InFlight() int {
	return len(l.flights)
}

// Reserve pays for one attempt and its sub-grant, or says why not.
func (l *Ledger) Reserve(request Request) Reservation {
	if reason := l.check(request); reason != call.ReasonOK {
		pending := reason == call.ReasonNoCredits && !l.closed && len(l.flights) > 0

		return Reservation{Reason: reason, Pending: pending}
	}
	l.left.Attempts--
	if request.Retry {
		l.left.Retries--
	}
	grant := l.share(request.Need)
	l.left = l.left.Sub(grant)
	l.next++
	l.flights[l.next] = grant

	return Reservation{Number: l.next, Grant: grant, Reason: call.ReasonOK}
}

func (l *Ledger) check(request Request) call.Reason {
	if l.depth >= l.limit {
		return call.ReasonTooDeep
	}
	if l.closed || l.left.Attempts < 1 {
		return call.ReasonNoCredits
	}
	if request.Retry && l.left.Retries < 1 {
		return call.ReasonNoCredits
	}

	return call.ReasonOK
}

// share covers the need first, adds a part of the surplus and keeps the rest for siblings and retries.
func (l *Ledger) share(need int) Grant {
	below := l.limit - l.depth - 1
	if need != UnknownNeed {
		below = min(below, need)
	}
	attempts := l.left.Attempts
	if attempts > below {
		attempts = below + (attempts-below)/keepShare
	}
	retries := (l.left.Retries + 1) / 2

	return Grant{Attempts: attempts, Retries: min(retries, attempts)}
}

// Return books what an answer hands back; a second return of the attempt, or more than was granted, has no effect.
func (l *Ledger) Return(number int, unspent Grant) {
	granted, inFlight := l.flights[number]
	if !inFlight {
		return
	}
	delete(l.flights, number)
	if l.closed {
		return
	}
	l.left = l.left.Add(unspent.Clamp(granted))
}

// ReturnAll books the whole sub-grant back, for an attempt that is certain never to run.
func (l *Ledger) ReturnAll(number int) {
	l.Return(number, l.flights[number])
}

// Forfeit gives up the sub-grant of an attempt whose answer is lost.
func (l *Ledger) Forfeit(number int) {
	delete(l.flights, number)
}

// Close ends the ledger and returns what goes back with the answer; what is in flight is lost.
func (l *Ledger) Close() Grant {
	if l.closed {
		return Grant{}
	}
	l.closed = true
	left := l.left
	l.left = Grant{}

	return left
}
