package call

import "github.com/google/uuid"

// ID names one operation, that is one hop of a call, and stays the same over its attempts.
type ID string

// NewID returns a random ID that is unique over all nodes.
func NewID() ID {
	return ID(uuid.NewString())
}

// Root names the caller's own request, and is shared by every hop it causes.
type Root string

// NewRoot returns a random Root that is unique over all nodes.
func NewRoot() Root {
	return Root(uuid.NewString())
}
