package retry

// maxSavedRetries is how many retries an idle entry node can save up for one service.
const maxSavedRetries = 20

// Budget is a token bucket that limits the retries from one entry node to one service. It is not safe for concurrent use.
//
// At any time the number of retries taken is at most the ratio times the number of first attempts, rounded up.
type Budget struct {
	tokens  float64
	firsts  int
	retries int
}

// AddFirstAttempt counts a first attempt, which adds ratio tokens. The very first one adds a whole token, unless ratio is zero,
// which rounds the bound up.
func (b *Budget) AddFirstAttempt(ratio float64) {
	if b.firsts == 0 && ratio > 0 {
		b.tokens = 1 - ratio
	}
	b.firsts++
	b.tokens = min(b.tokens+ratio, maxSavedRetries)
}

// TakeRetry takes a token for a retry, and returns false if there is none.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.retries++

	return true
}

// Counts returns the number of first attempts and of retries so far.
func (b *Budget) Counts() (firsts, retries int) {
	return b.firsts, b.retries
}
