package relay

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/cockroachdb/errors"
)

const (
	// bodyChunk is the initial capacity in bytes of a body buffer. It grows as bytes arrive and not by the length that the header
	// states, so that a header alone takes no memory.
	bodyChunk = 4 << 10
	// maxTrailerBytes bounds the trailer of a chunked body.
	maxTrailerBytes = 16 << 10
)

// bodyBuffer collects a response body within the limits.
type bodyBuffer struct {
	body     []byte
	maxBytes int
	response *Response
}

// grow makes room for at least one more byte and at most wanted ones.
func (b *bodyBuffer) grow(wanted int) error {
	if len(b.body) >= b.maxBytes {
		return errEndless
	}
	if len(b.body) < cap(b.body) {
		return nil
	}
	capacity := min(max(2*cap(b.body), bodyChunk), b.maxBytes, len(b.body)+max(wanted, 1))
	if !b.response.reserve(capacity - cap(b.body)) {
		return errBuffersFull
	}
	grown := make([]byte, len(b.body), capacity)
	copy(grown, b.body)
	b.body = grown

	return nil
}

// read appends the next bytes of the reader, at most wanted ones.
func (b *bodyBuffer) read(reader io.Reader, wanted int) error {
	if err := b.grow(wanted); err != nil {
		return err
	}
	free := b.body[len(b.body):min(cap(b.body), len(b.body)+wanted)]
	n, err := reader.Read(free)
	b.body = b.body[:len(b.body)+n]

	return err
}

// readLength reads a body of a known length.
func (b *bodyBuffer) readLength(reader io.Reader, length int) error {
	if length > b.maxBytes {
		return errTooLong
	}
	for len(b.body) < length {
		if err := b.read(reader, length-len(b.body)); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}

			return err
		}
	}

	return nil
}

// readToEnd reads until the reader ends cleanly.
func (b *bodyBuffer) readToEnd(reader io.Reader) error {
	for {
		switch err := b.read(reader, b.maxBytes); {
		case err == io.EOF:
			return nil
		case errors.Is(err, errEndless):
			// a body of exactly the largest size may end here
			return b.expectEnd(reader)
		case err != nil:
			return err
		}
	}
}

func (*bodyBuffer) expectEnd(reader io.Reader) error {
	var next [1]byte
	switch n, err := reader.Read(next[:]); {
	case n > 0:
		return errEndless
	case err == io.EOF:
		return nil
	default:
		return err
	}
}

// readChunked reads a chunked body with its trailer, whose fields are dropped. It reports whether bytes follow that were read with it.
func (b *bodyBuffer) readChunked(conn io.Reader) (trailing bool, err error) {
	buffered := bufio.NewReaderSize(conn, bodyChunk)
	if err := b.readToEnd(httputil.NewChunkedReader(buffered)); err != nil {
		return false, err
	}
	for read := 0; read < maxTrailerBytes; {
		line, err := buffered.ReadSlice('\n')
		read += len(line)
		switch {
		case err == io.EOF:
			return false, nil
		case err != nil:
			return false, err
		case len(line) <= len("\r\n"):
			return buffered.Buffered() > 0, nil
		}
	}

	return false, errEndless
}
