package scope

import "sync"

// Purse is a ledger that splits what is left evenly between this attempt and those after it.
type Purse struct {
	mu     sync.Mutex
	left   int
	closed bool
}

// NewPurse returns a ledger with that many attempts.
func NewPurse(attempts int) *Purse {
	return &Purse{left: attempts}
}

// Spend takes one attempt and grants half of the rest, rounded up.
func (p *Purse) Spend() (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.closed || p.left < 1 {
		return 0, false
	}
	p.left--
	grant := (p.left + 1) / 2
	p.left -= grant

	return grant, true
}

// Return gives back what an attempt left unspent, nothing once the ledger is closed.
func (p *Purse) Return(unspent int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if !p.closed && unspent > 0 {
		p.left += unspent
	}
}

// Close ends the ledger and returns what is left.
func (p *Purse) Close() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.closed = true

	return p.left
}
