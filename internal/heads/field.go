package heads

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// ErrField means that a line of a header or trailer section is no field.
var ErrField = errors.New("malformed field line")

// deleteByte is the one control character of ASCII above the space.
const deleteByte = 0x7f

// CheckField returns an error that wraps ErrField unless the line, without its end, is a field, or continues the field before it; the
// first line has none before it.
func CheckField(line []byte, first bool) error {
	name, value := line[:0], line
	if first || len(line) == 0 || !isSpace(line[0]) {
		colon := bytes.IndexByte(line, ':')
		if colon <= 0 || !isToken(line[:colon]) {
			return errors.Wrapf(ErrField, "%q has no valid name", shorten(line))
		}
		name, value = line[:colon], line[colon+1:]
	}
	if !isText(value) {
		return errors.Wrapf(ErrField, "value of %q has a control character", shorten(name))
	}

	return nil
}

// isToken reports whether all characters may stand in the name of a field.
func isToken(name []byte) bool {
	for _, c := range name {
		if !tokenCharacters[c] {
			return false
		}
	}

	return true
}

// tokenCharacters are the characters of a token (RFC 9110, section 5.6.2).
var tokenCharacters = newTokenCharacters()

func newTokenCharacters() (characters [256]bool) {
	for c := range characters {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
			characters[c] = true
		}
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		characters[c] = true
	}

	return characters
}

// isText reports whether the bytes may stand in a reason phrase or a field value: no control characters except tabs.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == deleteByte {
			return false
		}
	}

	return true
}
