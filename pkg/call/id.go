package call

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// ID identifies an operation, which is one call of a client or of a service to a service. All attempts of the operation share it.
type ID string

// ErrBadID is returned for an ID that does not contain its creation time.
var ErrBadID = errors.New("operation id without a time")

const uuidVersionWithTime = 7

// NewID returns a globally unique ID (UUID version 7) that contains its creation time.
func NewID() ID {
	id, err := uuid.NewV7()
	if err != nil {
		return ID(uuid.NewString())
	}

	return ID(id.String())
}

// CreatedAt returns the creation time of the ID, or an error that wraps ErrBadID.
func (id ID) CreatedAt() (time.Time, error) {
	parsed, err := uuid.Parse(string(id))
	if err != nil {
		return time.Time{}, errors.Wrapf(ErrBadID, "parse %q", string(id))
	}
	if parsed.Version() != uuidVersionWithTime {
		return time.Time{}, errors.Wrapf(ErrBadID, "read version %d", int(parsed.Version()))
	}
	seconds, nanoseconds := parsed.Time().UnixTime()

	return time.Unix(seconds, nanoseconds), nil
}

// Root identifies a root request, the one that an external client sent. All calls that it causes share the Root.
type Root string

// NewRoot returns a random, globally unique Root.
func NewRoot() Root {
	return Root(uuid.NewString())
}
