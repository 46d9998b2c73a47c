package budget

import "sync/atomic"

// Budget is a number of bytes that its users share. It is safe for concurrent use. A nil Budget has no bound.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Reserve takes bytes from the budget, and reports whether there were enough left.
func (b *Budget) Reserve(bytes int) bool {
	if b == nil {
		return true
	}
	if b.used.Add(int64(bytes)) > b.limit {
		b.used.Add(-int64(bytes))

		return false
	}

	return true
}

// Release returns reserved bytes.
func (b *Budget) Release(bytes int) {
	if b != nil {
		b.used.Add(-int64(bytes))
	}
}
