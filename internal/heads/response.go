package heads

import (
	"bytes"
	"io"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cockroachdb/errors"
)

// ErrStatusLine means that the first line of a response is no status line of HTTP/1.1 or HTTP/1.0.
var ErrStatusLine = errors.New("malformed status line")

const (
	versionLength = len("HTTP/1.1")
	// statusLength is the length of the version and the status code.
	statusLength = versionLength + len(" 200")
	// maxShownBytes bounds the bytes of a head that an error shows.
	maxShownBytes = 32
)

// ReadResponse reads and consumes the head of a response. Unlike hertz's parser alone, it rejects a head that is no response of HTTP/1.1
// instead of repairing it, as soon as the line that is malformed has arrived. The header is empty after an error.
func ReadResponse(header *protocol.ResponseHeader, conn network.Reader) error {
	header.ResetSkipNormalize()
	var checked responseHead
	buffered, err := checked.read(conn)
	if err != nil {
		return err
	}
	if err := resp.ReadHeader(header, headReader{Reader: conn, head: unfold(buffered[:checked.next])}); err != nil {
		return errors.Wrap(err, "parse head")
	}

	return nil
}

// headReader shows the parser the head of a response, and none of the bytes behind it.
type headReader struct {
	network.Reader

	head []byte
}

// Len returns the length of the head.
func (r headReader) Len() int {
	return len(r.head)
}

// Peek returns the first n bytes of the head.
func (r headReader) Peek(n int) ([]byte, error) {
	if n > len(r.head) {
		return r.head, io.ErrUnexpectedEOF
	}

	return r.head[:n], nil
}

// responseHead checks the lines of a head as they arrive.
type responseHead struct {
	// next is the index of the first line that has not been checked.
	next int
	// lines is the number of lines that have been checked, without empty ones.
	lines int
}

// read waits for the whole head, and returns the buffered bytes, which begin with it.
func (h *responseHead) read(conn network.Reader) ([]byte, error) {
	for count := 1; ; {
		if _, err := conn.Peek(count); err != nil {
			return nil, errors.Wrap(err, "read head")
		}
		buffered, err := conn.Peek(conn.Len())
		if err != nil {
			return nil, errors.Wrap(err, "read head")
		}
		if complete, err := h.check(buffered); complete || err != nil {
			return buffered, err
		}
		count = len(buffered) + 1
	}
}

// check checks the lines that have arrived since the last call, and reports whether the head is complete.
func (h *responseHead) check(buffered []byte) (complete bool, err error) {
	for {
		length := bytes.IndexByte(buffered[h.next:], '\n')
		if length < 0 {
			return false, nil
		}
		line := bytes.TrimSuffix(buffered[h.next:h.next+length], []byte{'\r'})
		h.next += length + 1
		switch {
		case len(line) > 0:
			err = h.checkLine(line)
		case h.lines > 0:
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

func (h *responseHead) checkLine(line []byte) error {
	h.lines++
	if h.lines == 1 {
		return checkStatusLine(line)
	}

	return CheckField(line, h.lines == 2)
}

// checkStatusLine returns an error unless the line has a version, a status code from 100 to 599, and any reason phrase.
func checkStatusLine(line []byte) error {
	switch {
	case len(line) < statusLength, !isVersion(line[:versionLength]), !isStatus(line[versionLength:statusLength]):
	case len(line) > statusLength && line[statusLength] != ' ', !isText(line[statusLength:]):
	default:
		return nil
	}

	return errors.Wrapf(ErrStatusLine, "%q", shorten(line))
}

func isVersion(version []byte) bool {
	return string(version) == "HTTP/1.1" || string(version) == "HTTP/1.0"
}

// isStatus reports whether the text is a space and a status code.
func isStatus(text []byte) bool {
	return text[0] == ' ' && text[1] >= '1' && text[1] <= '5' && isDigit(text[2]) && isDigit(text[3])
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

// shorten returns the beginning of the text.
func shorten(text []byte) string {
	if len(text) <= maxShownBytes {
		return string(text)
	}

	return string(text[:maxShownBytes]) + "..."
}
