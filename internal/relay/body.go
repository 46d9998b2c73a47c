package relay

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/budget"
	"github.com/pistachiotack/pistachiotack/internal/heads"
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

// readChunked reads a chunked body with its trailer. It reports whether bytes follow that were read with it.
func (b *bodyReader) readChunked(conn io.Reader) (trailing bool, err error) {
	chunks := newChunkReader(conn)
	if err := b.readToEnd(chunks); err != nil {
		return false, err
	}

	return chunks.trailing(), nil
}

// chunkReader reads a chunked body and, at its end, the trailer, whose fields are checked and dropped.
type chunkReader struct {
	buffered *bufio.Reader
	body     io.Reader
	// end is the error that has ended the body, nil before.
	end error
}

func newChunkReader(conn io.Reader) *chunkReader {
	buffered := bufio.NewReaderSize(conn, chunkReadBuffer)

	return &chunkReader{buffered: buffered, body: httputil.NewChunkedReader(buffered)}
}

// Read returns io.EOF only behind the trailer, and io.ErrUnexpectedEOF if the connection ends before the last chunk.
func (r *chunkReader) Read(p []byte) (int, error) {
	if r.end != nil {
		return 0, r.end
	}
	n, err := r.body.Read(p)
	if err == io.EOF {
		if trailerErr := r.readTrailer(); trailerErr != nil {
			err = trailerErr
		}
	}
	r.end = err

	return n, err
}

// trailing reports whether bytes behind the body have been read with it.
func (r *chunkReader) trailing() bool {
	return r.buffered.Buffered() > 0
}

func (r *chunkReader) readTrailer() error {
	first := true
	for read := 0; read < maxTrailerBytes; first = false {
		line, err := r.buffered.ReadSlice('\n')
		read += len(line)
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
		line = bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
		if len(line) == 0 {
			return nil
		}
		if err := heads.CheckField(line, first); err != nil {
			return errors.Wrap(err, "trailer")
		}
	}

	return errEndless
}
