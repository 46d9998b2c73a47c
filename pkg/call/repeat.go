package call

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// repeatTime is how long it lasts where nothing else is stated.
const repeatTime = time.Second

// NewRetryRoot returns what a request and its repetitions have in common for that time: a caller that asks again at once
// gets no new one, and so gains nothing over one that comes back when it was told to.
func NewRetryRoot(now time.Time, last time.Duration, parts ...[]byte) Root {
	hash := xxhash.New()
	for _, part := range parts {
		_, _ = hash.Write(part)
		_, _ = hash.Write([]byte{0})
	}
	if last <= 0 {
		last = repeatTime
	}
	same := hash.Sum64()
	// The roots of different requests change at different times.
	turn := (uint64(now.UnixNano()) + same%uint64(last)) / uint64(last)

	return Root(strconv.FormatUint(same, 36) + "/" + strconv.FormatUint(turn, 36))
}
