package heads

import (
	"bytes"

	"github.com/cloudwego/hertz/pkg/network"
)

// Reader shows the parser each folded header line as one line. Hertz's parser unfolds lines in the buffer of the connection, which
// moves the bytes behind them, also those of the body, and reads a head wrongly that arrives in pieces.
type Reader struct {
	network.Reader
}

// NewReader returns a Reader for the next head of the connection.
func NewReader(conn network.Reader) Reader {
	return Reader{Reader: conn}
}

// Peek returns the next n bytes without consuming them. Line breaks before a continuation are replaced by spaces, in a copy.
func (r Reader) Peek(n int) ([]byte, error) {
	next, err := r.Reader.Peek(n)

	return unfold(next), err
}

// unfold returns the bytes with the folded lines of the head joined, and everything else unchanged and in its place.
func unfold(buffered []byte) []byte {
	head := buffered
	next := 0
	for startLine := true; ; {
		begin := next
		length := bytes.IndexByte(buffered[begin:], '\n')
		if length < 0 {
			return head
		}
		line := bytes.TrimSuffix(buffered[begin:begin+length], []byte{'\r'})
		next = begin + length + 1
		switch {
		case startLine:
			// empty lines before the start line are skipped
			startLine = len(line) == 0
		case len(line) == 0 || next == len(buffered):
			return head
		case isSpace(buffered[next]):
			if &head[0] == &buffered[0] {
				head = bytes.Clone(buffered)
			}
			for i := begin + len(line); i <= next; i++ {
				head[i] = ' '
			}
		}
	}
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t'
}
