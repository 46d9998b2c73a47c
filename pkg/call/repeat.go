package call

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// defaultRetryWindow is the window of NewRetryRoot if none is given.
const defaultRetryWindow = time.Second

// NewRetryRoot returns a Root that identical requests share during a time window. A caller that retries at once keeps the
// same rank, so it gains nothing over a caller that waits for the requested Retry-After time.
func NewRetryRoot(now time.Time, window time.Duration, parts ...[]byte) Root {
	hash := xxhash.New()
	for _, part := range parts {
		_, _ = hash.Write(part)
		_, _ = hash.Write([]byte{0})
	}
	if window <= 0 {
		window = defaultRetryWindow
	}
	digest := hash.Sum64()
	// The offset by the digest starts the windows of different requests at different times.
	windowIndex := (uint64(now.UnixNano()) + digest%uint64(window)) / uint64(window)

	return Root(strconv.FormatUint(digest, 36) + "/" + strconv.FormatUint(windowIndex, 36))
}
