package call

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// ID names one operation, that is one hop of a call, and stays the same over its attempts.
type ID string

// ErrBadID is returned for an ID that does not tell when it was made.
var ErrBadID = errors.New("operation id without a time")

const timedVersion = 7

// NewID returns an ID that is unique over all nodes and tells the time at which it was made.
func NewID() ID {
	id, err := uuid.NewV7()
	if err != nil {
		return ID(uuid.NewString())
	}

	return ID(id.String())
}

// CreatedAt returns the time at which the ID was made, or an error that wraps ErrBadID.
func (id ID) CreatedAt() (time.Time, error) {
	parsed, err := uuid.Parse(string(id))
	if err != nil {
		return time.Time{}, errors.Wrapf(ErrBadID, "parse %q", string(id))
	}
	if parsed.Version() != timedVersion {
		return time.Time{}, errors.Wrapf(ErrBadID, "read version %d", int(parsed.Version()))
	}
	seconds, nanoseconds := parsed.Time().UnixTime()

	return time.Unix(seconds, nanoseconds), nil
}

// Root names the caller's own request, and is shared by every hop it causes.
type Root string

// NewRoot returns a random Root that is unique over all nodes.
func NewRoot() Root {
	return Root(uuid.NewString())
}
