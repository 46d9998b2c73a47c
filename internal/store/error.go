package store

import "github.com/cockroachdb/errors"

// Errors that the methods of Store wrap.
var (
	// ErrUnavailable means that the platform can't be reached or refuses requests. A write has had no effect.
	ErrUnavailable = errors.New("platform is away")
	// ErrConflict means that the condition of a write did not hold. The write has had no effect.
	ErrConflict = errors.New("row was changed by another")
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = errors.New("no such row")
	// ErrUnknownEffect means that a write was sent, but may or may not have taken effect: its response was lost or a server error.
	ErrUnknownEffect = errors.New("write may have taken effect")
	// ErrBadResponse means that the response has an unexpected status or can't be decoded.
	ErrBadResponse = errors.New("platform gave a bad answer")
)
