package scope

import (
	"context"
	"sync"

	"github.com/pistachiotack/pistachiotack/pkg/credit"
)

// Ledger is a credit ledger that the calls of one execution share. Credits are the attempts and retries that a call tree may
// still make.
type Ledger struct {
	mu       sync.Mutex
	credits  *credit.Ledger
	returned chan struct{}
}

// NewLedger returns the ledger of an execution at the given depth of the call tree.
func NewLedger(grant credit.Grant, depth, maxDepth int) *Ledger {
	return &Ledger{credits: credit.NewLedger(grant, depth, maxDepth), returned: make(chan struct{})}
}

// Reserve takes the credits of one attempt. If other calls of the execution hold the credits, it waits until one returns them or
// the context ends.
func (l *Ledger) Reserve(ctx context.Context, request credit.Request) credit.Reservation {
	for {
		reservation, returned := l.reserve(request)
		if !reservation.Pending {
			return reservation
		}
		select {
		case <-returned:
		case <-ctx.Done():
			return reservation
		}
	}
}

func (l *Ledger) reserve(request credit.Request) (credit.Reservation, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.credits.Reserve(request), l.returned
}

// Remaining returns the credits that are neither spent nor in flight.
func (l *Ledger) Remaining() credit.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.credits.Remaining()
}

// Return adds the unspent credits that came back with the response to the attempt.
func (l *Ledger) Return(number int, unspent credit.Grant) {
	l.update(func() { l.credits.Return(number, unspent) })
}

// ReturnAll adds the whole sub-grant of an attempt that is certain never to run.
func (l *Ledger) ReturnAll(number int) {
	l.update(func() { l.credits.ReturnAll(number) })
}

// Forfeit gives up the sub-grant of an attempt without a response.
func (l *Ledger) Forfeit(number int) {
	l.update(func() { l.credits.Forfeit(number) })
}

// Close closes the ledger and returns the remaining credits.
func (l *Ledger) Close() credit.Grant {
	var remaining credit.Grant
	l.update(func() { remaining = l.credits.Close() })

	return remaining
}

// update changes the ledger and wakes the waiting calls.
func (l *Ledger) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()

	change()
	close(l.returned)
	l.returned = make(chan struct{})
}
