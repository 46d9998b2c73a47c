package retry

// budgetMost is how many retries an idle entry may save up for one service.
const budgetMost = 20

// Budget bounds the retries of one entry to one service as a share of its first attempts; its owner serialises calls.
//
// At any time the retries taken are at most the ratio of the first attempts, rounded up.
type Budget struct {
	saved   float64
	firsts  int
	retries int
}

// AddFirstAttempt counts a first attempt, which earns its share of a retry.
func (b *Budget) AddFirstAttempt(ratio float64) {
	if b.firsts == 0 && ratio > 0 {
		b.saved = 1 - ratio
	}
	b.firsts++
	b.saved = min(b.saved+ratio, budgetMost)
}

// TakeRetry counts a retry, false if the budget has none left.
func (b *Budget) TakeRetry() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	b.retries++

	return true
}

// Counts returns the first attempts and the retries so far.
func (b *Budget) Counts() (firsts, retries int) {
	return b.firsts, b.retries
}
