package scope

import (
	"context"
	"sync"

	"github.com/pistachiotack/pistachiotack/pkg/credit"
)

// Ledger is a credit ledger that the calls of one execution share.
type Ledger struct {
	mu       sync.Mutex
	credits  *credit.Ledger
	returned chan struct{}
}

// NewLedger returns the ledger of an execution at that depth, under that depth limit.
func NewLedger(grant credit.Grant, depth, limit int) *Ledger {
	return &Ledger{credits: credit.NewLedger(grant, depth, limit), returned: make(chan struct{})}
}

// Reserve pays for one attempt; while siblings hold the credits it waits for one of them, until the context ends.
func (l *Ledger) Reserve(ctx context.Context, request credit.Request) credit.Reservation {
	for {
		paid, returned := l.try(request)
		if !paid.Pending {
			return paid
		}
		select {
		case <-returned:
		case <-ctx.Done():
			return paid
		}
	}
}

func (l *Ledger) try(request credit.Request) (credit.Reservation, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.credits.Reserve(request), l.returned
}

// Remaining returns what may still be spent.
func (l *Ledger) Remaining() credit.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.credits.Remaining()
}

// Return books what an answer hands back.
func (l *Ledger) Return(number int, unspent credit.Grant) {
	l.settle(func() { l.credits.Return(number, unspent) })
}

// ReturnAll books the whole sub-grant of an attempt that is certain never to run.
func (l *Ledger) ReturnAll(number int) {
	l.settle(func() { l.credits.ReturnAll(number) })
}

// Forfeit gives up the sub-grant of an attempt whose answer is lost.
func (l *Ledger) Forfeit(number int) {
	l.settle(func() { l.credits.Forfeit(number) })
}

// Close ends the ledger and returns what is left.
func (l *Ledger) Close() credit.Grant {
	var left credit.Grant
	l.settle(func() { left = l.credits.Close() })

	return left
}

// settle changes the ledger and wakes those who wait.
func (l *Ledger) settle(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()

	change()
	close(l.returned)
	l.returned = make(chan struct{})
}
