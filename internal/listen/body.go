package listen

import (
	"slices"
	"strconv"
	"strings"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/budget"
)

const (
	// smallBody is the size in bytes up to which a body is read in one piece and not counted in the budget of the server.
	smallBody = 64 << 10
	// maxBodies bounds the larger bodies that a server holds at a time.
	maxBodies = 64 << 20
	// maxChunkLine and maxTrailer bound the line before a chunk and the trailer, in bytes.
	maxChunkLine = 256
	maxTrailer   = 16 << 10
	// chunkedLength and noLength are the content lengths that hertz reports for a chunked body, and for a request without one.
	chunkedLength = -1
	noLength      = -2
)

var errMalformedChunk = errors.New("malformed chunk")

// releaseInterval is the number of bytes after which the input buffer is freed. Freeing it more often costs a new buffer each time.
const releaseInterval = 4 << 10

// chunkReader reads the chunks of a request body. It frees the input buffer of the connection as it goes.
type chunkReader struct {
	conn   network.Conn
	buffer *budget.Buffer
	// maxBody is the largest body in bytes.
	maxBody int
	// unreleased is the number of bytes read since the input buffer was freed.
	unreleased int
}

// Read copies bytes from the input buffer, and waits for some if it is empty.
func (r *chunkReader) Read(p []byte) (int, error) {
	available, err := r.conn.Peek(min(max(r.conn.Len(), 1), len(p)))
	if err != nil {
		return 0, err
	}
	n := copy(p, available)
	if err := r.conn.Skip(n); err != nil {
		return n, err
	}
	if r.unreleased += n; r.unreleased >= releaseInterval {
		r.unreleased = 0

		return n, r.conn.Release()
	}

	return n, nil
}

// read reads all chunks and the trailer, whose fields are dropped.
func (r *chunkReader) read() error {
	for {
		size, err := r.readSize()
		if err != nil {
			return err
		}
		if size == 0 {
			return r.skipTrailer()
		}
		if size > uint64(r.maxBody-r.buffer.Len()) {
			return hertzerrors.ErrBodyTooLarge
		}
		if err := r.buffer.ReadFull(r, int(size)); err != nil {
			return err
		}
		if line, err := r.readLine(len("\r\n")); err != nil || line != "" {
			return errors.CombineErrors(err, errMalformedChunk)
		}
	}
}

// readSize reads the size of the next chunk; extensions are ignored.
func (r *chunkReader) readSize() (uint64, error) {
	line, err := r.readLine(maxChunkLine)
	if err != nil {
		return 0, err
	}
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 63)

	return size, errors.Wrap(err, "size of a chunk")
}

func (r *chunkReader) skipTrailer() error {
	for left := maxTrailer; ; {
		line, err := r.readLine(left)
		if err != nil || line == "" {
			return err
		}
		left -= len(line) + len("\r\n")
	}
}

// readLine reads a line of at most the given number of bytes, and returns it without its end.
func (r *chunkReader) readLine(maxBytes int) (string, error) {
	var line []byte
	var next [1]byte
	for len(line) < maxBytes {
		if _, err := r.Read(next[:]); err != nil {
			return "", err
		}
		line = append(line, next[0])
		if next[0] == '\n' {
			return strings.TrimSuffix(string(line[:len(line)-1]), "\r"), nil
		}
	}

	return "", errMalformedChunk
}

// readBody reads the body of a request whose header has been read. The body doesn't share memory with the input buffer of the
// connection, which later requests overwrite.
func (x *exchange) readBody(maxBody int, shared *budget.Budget) error {
	request := &x.ctx.Request
	length := request.Header.ContentLength()
	if length > 0 || length == chunkedLength {
		if err := x.extendRead(readTimeout); err != nil {
			return err
		}
	}
	if length != chunkedLength && length <= smallBody || length == noLength {
		if err := req.ContinueReadBody(request, x.ctx.GetReader(), maxBody, false); err != nil {
			return err
		}
		if body := request.BodyBytes(); len(body) > 0 {
			request.SetBodyRaw(slices.Clone(body))
		}

		return nil
	}
	largest := maxBody
	if length != chunkedLength {
		largest = min(length, maxBody)
	}
	buffer := budget.NewBuffer(shared, nil, largest)
	defer func() { x.reserved = buffer.Reserved() }()
	if err := x.readLargeBody(buffer, length, maxBody); err != nil {
		return err
	}
	request.SetBodyRaw(buffer.Bytes())
	request.Header.SetContentLength(buffer.Len())

	return nil
}

func (x *exchange) readLargeBody(buffer *budget.Buffer, length, maxBody int) error {
	if length == chunkedLength {
		chunks := chunkReader{conn: x.ctx.GetConn(), buffer: buffer, maxBody: maxBody}

		return chunks.read()
	}
	if length > maxBody {
		return hertzerrors.ErrBodyTooLarge
	}

	return buffer.ReadFull(x.ctx.GetConn(), length)
}
