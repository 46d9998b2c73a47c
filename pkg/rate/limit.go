package rate

import (
	"math"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Limit is the number of calls per second that a backend server accepts from all nodes together; the zero value is no limit.
type Limit struct {
	stated    bool
	perSecond float64
}

// PerSecond returns a limit of that many calls per second, which must be finite and not negative.
func PerSecond(calls float64) Limit {
	return Limit{stated: true, perSecond: calls}
}

// ErrLimit means that a limit is no finite, non-negative number, or that there are several different ones.
var ErrLimit = errors.New("rate limit cannot be read")

// Parse returns the limit stated by the values of a response header, no limit if there are none. Errors wrap ErrLimit.
func Parse(values []string) (Limit, error) {
	var found Limit
	for i, text := range values {
		calls, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(calls) || math.IsInf(calls, 0) || calls < 0 {
			return Limit{}, errors.Wrapf(ErrLimit, "value %.32q", text)
		}
		if i > 0 && calls != found.perSecond {
			return Limit{}, errors.Wrapf(ErrLimit, "%d different values", len(values))
		}
		found = PerSecond(calls)
	}

	return found, nil
}

// Stated reports whether there is a limit.
func (l Limit) Stated() bool {
	return l.stated
}

// CallsPerSecond returns the number of calls per second, zero without a limit.
func (l Limit) CallsPerSecond() float64 {
	return l.perSecond
}

// String returns the limit for logs.
func (l Limit) String() string {
	if !l.stated {
		return "none"
	}

	return strconv.FormatFloat(l.perSecond, 'f', -1, 64) + "/s"
}
