package relay

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/budget"
)

const (
	// chunkReadBuffer is the size in bytes of the buffer through which a chunked body is read.
	chunkReadBuffer = 4 << 10
	// maxTrailerBytes bounds the trailer of a chunked body.
	maxTrailerBytes = 16 << 10
)

// bodyReader reads a response body of at most maxBytes into a buffer.
type bodyReader struct {
	buffer   *budget.Buffer
	maxBytes int
}

// readLength reads a body of a known length.
func (b *bodyReader) readLength(reader io.Reader, length int) error {
	if length > b.maxBytes {
		return errTooLong
	}

	return b.buffer.ReadFull(reader, length)
}

// readToEnd reads until the reader ends cleanly.
func (b *bodyReader) readToEnd(reader io.Reader) error {
	for b.buffer.Len() < b.maxBytes {
		switch err := b.buffer.ReadSome(reader, b.maxBytes-b.buffer.Len()); {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
	// a body of exactly the largest size may end here
	var next [1]byte
	switch n, err := io.ReadFull(reader, next[:]); {
	case n > 0:
		return errEndless
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

// readChunked reads a chunked body with its trailer, whose fields are dropped. It reports whether bytes follow that were read with it.
func (b *bodyReader) readChunked(conn io.Reader) (trailing bool, err error) {
	buffered := bufio.NewReaderSize(conn, chunkReadBuffer)
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
