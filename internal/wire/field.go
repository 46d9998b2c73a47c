package wire

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// ErrAmbiguousField is returned if several lines state different values of a field that has only one.
var ErrAmbiguousField = errors.New("field has several values")

// readableHeader is a header of a request or a response.
type readableHeader interface {
	PeekAll(name string) [][]byte
}

// settableHeader is a header of a request or a response.
type settableHeader interface {
	Del(name string)
	Set(name, value string)
}

// SetField sets a field to a single line with the value, whatever lines the header has with that name.
//
// The setters of hertz replace the first line and keep the others, which a foreign message may have brought along.
func SetField(header settableHeader, name, value string) {
	header.Del(name)
	header.Set(name, value)
}

// SingleValue returns the value of a field, empty if the header doesn't have it. It returns ErrAmbiguousField if several lines state
// different ones.
func SingleValue(header readableHeader, name string) (string, error) {
	lines := header.PeekAll(name)
	if len(lines) == 0 {
		return "", nil
	}
	for _, line := range lines[1:] {
		if !bytes.Equal(line, lines[0]) {
			return "", errors.Wrap(ErrAmbiguousField, name)
		}
	}

	return string(lines[0]), nil
}
