package eras

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Verdict says what a response means for what the node has read and written before.
type Verdict string

const (
	// VerdictKeep means that versions read and rows written earlier are still valid.
	VerdictKeep Verdict = "keep"
	// VerdictRestart means that the store has lost acknowledged writes: versions must be read again, and rows written again.
	VerdictRestart Verdict = "restart"
	// VerdictDrop means that the response was sent before the store lost writes, and must not be used.
	VerdictDrop Verdict = "drop"
)

// Tracker follows the era of the store. It is not safe for concurrent use.
type Tracker struct {
	current uint64
	known   bool
}

// Current returns the newest era, zero before the first response.
func (t *Tracker) Current() uint64 {
	return t.current
}

// Observe records the era of a response. A response without an era has era 0.
func (t *Tracker) Observe(number uint64) Verdict {
	switch {
	case !t.known:
		t.current, t.known = number, true

		return VerdictKeep
	case number > t.current:
		t.current = number

		return VerdictRestart
	case number < t.current:
		return VerdictDrop
	default:
		return VerdictKeep
	}
}

// Version identifies a state of the store or of a row, which its number alone doesn't after the store has lost writes.
type Version struct {
	Era    uint64
	Number uint64
}

// ErrMalformed is returned for a text that is no version.
var ErrMalformed = errors.New("malformed version")

// ParseVersion parses the result of String.
func ParseVersion(text string) (Version, error) {
	first, second, found := strings.Cut(text, ".")
	if !found {
		return Version{}, errors.Wrapf(ErrMalformed, "%q", text)
	}
	number, err := strconv.ParseUint(second, 10, 64)
	if err != nil {
		return Version{}, errors.Wrapf(ErrMalformed, "%q", text)
	}
	era, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		return Version{}, errors.Wrapf(ErrMalformed, "%q", text)
	}

	return Version{Era: era, Number: number}, nil
}

// String returns the version as text.
func (v Version) String() string {
	return strconv.FormatUint(v.Era, 10) + "." + strconv.FormatUint(v.Number, 10)
}
