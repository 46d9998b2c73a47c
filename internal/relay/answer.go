package relay

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/budget"
)

// ErrStalled is returned by Stream.Read when no byte arrived within the progress interval.
var ErrStalled = errors.New("stream stalled")

// Response is a response whose body is either buffered or, if Stream is set, still to be read from the stream.
type Response struct {
	Response protocol.Response
	Stream   *Stream
	// buffers bounds the body together with those of other responses, and reserved is the number of bytes that the body takes of it.
	buffers  *budget.Budget
	reserved int
}

// responsePool reuses responses together with their header buffers.
var responsePool = sync.Pool{New: func() any { return &Response{} }}

// NewResponse returns an empty response from a pool and a function that closes it and puts it back. The response must not be used
// afterwards.
func NewResponse() (*Response, func()) {
	r, _ := responsePool.Get().(*Response)

	return r, func() {
		r.Close()
		responsePool.Put(r)
	}
}

// Close closes an open stream and resets the response.
func (r *Response) Close() {
	if r.Stream != nil {
		r.Stream.Close()
		r.Stream = nil
	}
	r.releaseBody()
	r.Response.Reset()
}

func (r *Response) releaseBody() {
	r.buffers.Release(r.reserved)
	r.reserved = 0
}

// Stream reads a response body that is too large to be buffered.
type Stream struct {
	attempt *attempt
	body    io.Reader
	// chunks is the body if it is chunked.
	chunks *chunkReader
	// Length is the Content-Length of the response, -1 if it has none.
	Length int64
	read   int64
	ended  bool
}

// openStream leaves the body to be read from a stream.
func (a *attempt) openStream() {
	response := &a.response.Response
	stream := &Stream{attempt: a, Length: int64(response.Header.ContentLength())}
	switch {
	case response.MustSkipBody():
		stream.body = http.NoBody
	case stream.Length == chunkedLength:
		stream.chunks = newChunkReader(a.conn)
		stream.body = stream.chunks
	default:
		stream.body = io.LimitReader(a.conn, stream.Length)
	}
	a.response.Stream = stream
}

// Read returns io.EOF only at the end of a complete body, and io.ErrUnexpectedEOF if the body is shorter than its declared length.
func (s *Stream) Read(p []byte) (int, error) {
	if progress := s.attempt.limits.ProgressInterval; progress > 0 {
		until := earlier(s.attempt.deadline, time.Now().Add(progress))
		if err := s.attempt.conn.SetReadDeadline(until); err != nil {
			return 0, err
		}
	}
	n, err := s.body.Read(p)
	s.read += int64(n)
	switch {
	case err == nil:
		return n, nil
	case isTimeout(err):
		return n, errors.CombineErrors(ErrStalled, err)
	case errors.Is(err, io.EOF) && s.Length >= 0 && s.read < s.Length:
		return n, io.ErrUnexpectedEOF
	case errors.Is(err, io.EOF):
		s.ended = true
	}

	return n, err
}

// Close returns the connection to the pool if the body was read to its end, and closes it otherwise.
func (s *Stream) Close() {
	if s.attempt == nil {
		return
	}
	complete := s.ended || (s.Length >= 0 && s.read == s.Length)
	trailing := s.attempt.conn.Len() > 0 || s.chunks != nil && s.chunks.trailing()
	s.attempt.release(complete && !trailing && s.attempt.reusable())
	s.attempt = nil
}
