package heads

import (
	"bytes"
	"math"

	"github.com/cockroachdb/errors"
)

// ErrLength means that a head does not tell where the body ends.
var ErrLength = errors.New("malformed length")

// Content lengths of a chunked body, and of one that ends with its connection, as in hertz.
const (
	chunkedLength        = -1
	closeDelimitedLength = -2
)

// Values of Transfer-Encoding that are supported.
const (
	codingChunked = "chunked"
	// codingIdentity is obsolete and means no coding.
	codingIdentity = "identity"
)

// blanks are the bytes around a value, with the line ends of folded lines.
const blanks = " \t\r\n"

// framing collects what the fields of a head say about the length of the body (RFC 9112, section 6). Its zero value is that of a head
// without such fields.
type framing struct {
	// stated is true if there is a Content-Length, which is length.
	stated bool
	length int
	// coding is the transfer coding, empty if there is none.
	coding string
	// uncoded is true for HTTP/1.0, which has no transfer codings.
	uncoded bool
}

// addField adds a field. Others than Content-Length and Transfer-Encoding are ignored.
func (f *framing) addField(name, value []byte) error {
	switch {
	case equalFold(name, "content-length"):
		return f.addLengths(value)
	case equalFold(name, "transfer-encoding"):
		return f.addCodings(value)
	default:
		return nil
	}
}

// addLengths adds a list of lengths, which have to be equal to each other and to those before.
func (f *framing) addLengths(list []byte) error {
	for more := true; more; {
		var text []byte
		text, list, more = bytes.Cut(list, []byte{','})
		length, err := parseLength(bytes.Trim(text, blanks))
		if err != nil {
			return err
		}
		if f.stated && f.length != length {
			return errors.Wrapf(ErrLength, "both %d and %d", f.length, length)
		}
		f.stated, f.length = true, length
	}

	return nil
}

// addCodings adds a list of transfer codings, of which there has to be one in all. A list may have empty elements.
func (f *framing) addCodings(list []byte) error {
	if len(bytes.Trim(list, blanks+",")) == 0 {
		return errors.Wrap(ErrLength, "empty transfer coding")
	}
	for more := true; more; {
		var text []byte
		text, list, more = bytes.Cut(list, []byte{','})
		text = bytes.Trim(text, blanks)
		switch {
		case len(text) == 0:
		case f.coding == "" && equalFold(text, codingChunked):
			f.coding = codingChunked
		case f.coding == "" && equalFold(text, codingIdentity):
			f.coding = codingIdentity
		default:
			return errors.Wrapf(ErrLength, "transfer coding %q", shorten(text))
		}
	}

	return nil
}

// contentLength returns the length of the body, chunkedLength or closeDelimitedLength.
func (f *framing) contentLength() (int, error) {
	switch {
	case f.stated && f.coding != "":
		return 0, errors.Wrapf(ErrLength, "both %d and %s", f.length, f.coding)
	case f.uncoded && f.coding == codingChunked:
		return 0, errors.Wrap(ErrLength, "chunked in HTTP/1.0")
	case f.stated:
		return f.length, nil
	case f.coding == codingChunked:
		return chunkedLength, nil
	default:
		return closeDelimitedLength, nil
	}
}

// parseLength parses a number of bytes that consists of digits only.
func parseLength(text []byte) (int, error) {
	length := 0
	for _, c := range text {
		if !isDigit(c) || length > (math.MaxInt-int(c-'0'))/10 {
			return 0, errors.Wrapf(ErrLength, "%q", shorten(text))
		}
		length = 10*length + int(c-'0')
	}
	if len(text) == 0 {
		return 0, errors.Wrap(ErrLength, "empty")
	}

	return length, nil
}

// equalFold reports whether the text is that in lower case, in any case.
func equalFold(text []byte, lower string) bool {
	if len(text) != len(lower) {
		return false
	}
	for i, c := range text {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}

	return true
}
