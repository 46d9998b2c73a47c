package store

import "github.com/cockroachdb/errors"

// Errors of the platform, to be told apart with errors.Is.
var (
	// ErrUnavailable means that the platform cannot be reached or refuses; a write has had no effect.
	ErrUnavailable = errors.New("platform is away")
	// ErrConflict means that the condition of a write did not hold; it has had no effect.
	ErrConflict = errors.New("row was changed by another")
	// ErrNotFound means that there is no such row or object.
	ErrNotFound = errors.New("no such row")
	// ErrUnknownEffect means that a write was sent and its answer lost.
	ErrUnknownEffect = errors.New("write may have taken effect")
	// ErrBadResponse means that the platform answered in a way that is not understood.
	ErrBadResponse = errors.New("platform gave a bad answer")
)
