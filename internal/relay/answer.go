package relay

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cockroachdb/errors"
)

// ErrStalled is returned by a stream on which no byte came for the progress interval.
var ErrStalled = errors.New("stream stalled")

// Response is an answer that is buffered whole, or whose body is still to be read from the stream.
type Response struct {
	Response protocol.Response
	Stream   *Stream
}

// answers keeps answers between attempts, with the space for their headers.
var answers = sync.Pool{New: func() any { return &Response{} }}

// NewResponse returns an empty answer, and the function that closes it and takes it back, after which it must not be used.
func NewResponse() (*Response, func()) {
	a, _ := answers.Get().(*Response)

	return a, func() {
		a.Close()
		answers.Put(a)
	}
}

// Close ends a stream that is still open and frees the buffers.
func (a *Response) Close() {
	if a.Stream != nil {
		a.Stream.Close()
		a.Stream = nil
	}
	a.Response.Reset()
}

// Stream is the body of an archive, read in windows.
type Stream struct {
	attempt *attempt
	body    io.Reader
	// Length is the number of bytes that the source declares, -1 if it declares none.
	Length int64
	read   int64
	ended  bool
}

func (a *attempt) stream(_ context.Context) error {
	response := &a.answer.Response
	length := int64(response.Header.ContentLength())
	if err := resp.ReadRespBodyStream(response, a.conn, streamWindow, nil); err != nil {
		return err
	}
	a.answer.Stream = &Stream{attempt: a, body: response.BodyStream(), Length: length}

	return nil
}

// streamWindow is the number of bytes read at once.
const streamWindow = 32 << 10

// Read reads the next bytes; io.EOF only comes at the true end, anything else is a broken stream.
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

// Close keeps the connection if the stream was read to its end, and closes it otherwise.
func (s *Stream) Close() {
	if s.attempt == nil {
		return
	}
	clean := s.ended || (s.Length >= 0 && s.read == s.Length)
	response := &s.attempt.answer.Response
	s.attempt.release(clean && s.attempt.conn.Len() == 0 && !response.ConnectionClose())
	s.attempt = nil
}
