package heads

import (
	"bytes"
	"io"
	"strings"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cockroachdb/errors"
)

// ErrStatusLine means that the first line of a response is no status line of HTTP/1.1 or HTTP/1.0.
var ErrStatusLine = errors.New("malformed status line")

const (
	version10     = "HTTP/1.0"
	version11     = "HTTP/1.1"
	versionLength = len(version11)
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
	length, err := checked.framing.contentLength()
	if err != nil {
		return err
	}
	head := buffered[:checked.next]
	if checked.folded {
		head = unfold(head)
	}
	if err := resp.ReadHeader(header, headReader{Reader: conn, head: head}); err != nil {
		return errors.Wrap(err, "parse head")
	}
	if header.ContentLength() != length {
		// the parser knows no lists of codings
		header.SetContentLength(length)
	}
	if len(checked.encodings) > 0 {
		// the parser keeps the last line only, though the lines are one list
		header.SetContentEncoding(strings.Join(checked.encodings, ", "))
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
	// field and fieldEnd are the bounds of the last field, whose value may go on in the next line; both are zero if there is none.
	field, fieldEnd int
	// folded is true if a field goes on in a further line.
	folded  bool
	framing framing
	// encodings are the values of Content-Encoding, in order, without empty ones.
	encodings []string
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
		begin := h.next
		line := bytes.TrimSuffix(buffered[begin:begin+length], []byte{'\r'})
		h.next += length + 1
		switch {
		case len(line) > 0:
			if err := h.checkLine(buffered, begin, line); err != nil {
				return false, err
			}
		case h.lines > 0:
			return true, h.endField(buffered)
		}
	}
}

// checkLine checks the line that begins at the index.
func (h *responseHead) checkLine(buffered []byte, begin int, line []byte) error {
	h.lines++
	if h.lines == 1 {
		h.framing.uncoded = bytes.HasPrefix(line, []byte(version10))

		return checkStatusLine(line)
	}
	if err := CheckField(line, h.lines == 2); err != nil {
		return err
	}
	if isSpace(line[0]) {
		h.folded = true
	} else {
		if err := h.endField(buffered); err != nil {
			return err
		}
		h.field = begin
	}
	h.fieldEnd = begin + len(line)

	return nil
}

// endField adds the last field to the framing, as its value has ended.
func (h *responseHead) endField(buffered []byte) error {
	name, value, _ := bytes.Cut(buffered[h.field:h.fieldEnd], []byte{':'})
	if value = bytes.Trim(value, blanks); len(value) > 0 && equalFold(name, "content-encoding") {
		h.encodings = append(h.encodings, string(bytes.Join(bytes.Fields(value), []byte{' '})))
	}

	return h.framing.addField(name, value)
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

// MayBeginResponse reports whether a response may begin with the bytes, as far as they go.
func MayBeginResponse(next []byte) bool {
	next = bytes.TrimLeft(next, "\r\n")
	for _, version := range []string{version11, version10} {
		if strings.HasPrefix(version, string(next[:min(len(next), versionLength)])) {
			return true
		}
	}

	return false
}

func isVersion(version []byte) bool {
	return string(version) == version11 || string(version) == version10
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
