package entry

import (
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	streamBufferBytes = 32 << 10
	statusPartial     = 206
)

var (
	errCallerGone   = errors.New("caller stopped reading")
	errNotResumable = errors.New("archive cannot be resumed")
)

// download forwards a streamed archive to the caller, and can resume it from another target.
type download struct {
	request *request
	writer  *relay.BodyWriter
	resp    *relay.Response
	etag    string
	// first is the offset in the archive of the first byte for the caller, total the size of the archive, each -1 if unknown.
	first int64
	total int64
	sent  int64
	// sentAtAttempt is the value of sent when the last attempt to resume began.
	sentAtAttempt int64
	// length is the number of bytes that the caller expects, -1 if unknown.
	length int64
}

// forwardStream sends an archive to the caller, and resumes it from another target if the stream breaks.
func (r *request) forwardStream(c context.Context, target member.Entry, resp *relay.Response) {
	d := newDownload(r, resp)
	d.writer = relay.NewBodyWriter(r.http, d.length)
	for {
		err := d.copy()
		d.resp.Close()
		if err == nil {
			return
		}
		r.logDecision(trace.Decision{
			Step: trace.StepAttempt, Chosen: target.ID, Outcome: call.OutcomeUnknown, Reason: call.ReasonTorn, Detail: err.Error(),
		})
		if errors.Is(err, errCallerGone) || !d.resume(c, err) {
			d.writer.Abort()

			return
		}
	}
}

func newDownload(r *request, resp *relay.Response) *download {
	header := &resp.Response.Header
	d := &download{request: r, resp: resp, length: resp.Stream.Length, total: resp.Stream.Length}
	if tag := string(header.Peek("ETag")); strings.HasPrefix(tag, `"`) {
		d.etag = tag
	}
	if resp.Response.StatusCode() == statusPartial {
		d.first, d.total = contentRange(string(header.Peek("Content-Range")))
	}

	return d
}

// copy forwards the stream to the caller until it ends.
func (d *download) copy() error {
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := d.resp.Stream.Read(buffer)
		if n > 0 {
			if _, writeErr := d.writer.Write(buffer[:n]); writeErr != nil {
				return errors.CombineErrors(errCallerGone, writeErr)
			}
			d.sent += int64(n)
		}
		switch {
		case d.length >= 0 && d.sent == d.length:
			return nil
		case errors.Is(err, io.EOF):
			return d.checkLength()
		case err != nil:
			return err
		}
	}
}

// checkLength returns an error if the stream ended before the expected length.
func (d *download) checkLength() error {
	if d.length >= 0 && d.sent < d.length {
		return io.ErrUnexpectedEOF
	}

	return nil
}

// resume requests the missing bytes, from any target with the same archive, and reports whether the stream can go on.
func (d *download) resume(c context.Context, cause error) bool {
	if d.etag == "" || d.length < 0 || d.total < 0 {
		d.request.logDecision(trace.Decision{Step: trace.StepRetry, Outcome: call.OutcomeUnknown, Reason: call.ReasonTorn, Detail: errNotResumable.Error()})

		return false
	}
	failure := call.NewRefusal(call.OutcomeUnknown, call.ReasonTorn).WithDetail("%v", cause)
	for c.Err() == nil {
		if !d.progressed() && d.request.waitForRetry(c, failure) != nil {
			return false
		}
		d.request.attempt++
		if failure = d.requestRest(c); failure == nil {
			return true
		}
	}

	return false
}

// progressed reports whether bytes were forwarded since the last attempt. Resuming after progress isn't decided by the
// retrier, but costs credits.
func (d *download) progressed() bool {
	before := d.sentAtAttempt
	d.sentAtAttempt = d.sent

	return d.sent > before
}

// requestRest makes one attempt to fetch the missing bytes by a Range request.
func (d *download) requestRest(c context.Context) *call.Refusal {
	header := &d.request.http.Request.Header
	offset := d.first + d.sent
	wire.SetField(header, "Range", "bytes="+strconv.FormatInt(offset, 10)+"-"+strconv.FormatInt(d.first+d.length-1, 10))
	wire.SetField(header, "If-Range", d.etag)
	resp, failure := d.request.fetch(c)
	if failure != nil {
		return failure
	}
	if !d.isContinuation(&resp.Response, offset) || resp.Stream == nil {
		resp.Close()

		return call.NewRefusal(call.OutcomeUnknown, call.ReasonTorn).WithDetail("%v", errNotResumable).WithFinal()
	}
	d.resp = resp

	return nil
}

// isContinuation reports whether the response starts at the offset and belongs to the same archive.
func (d *download) isContinuation(response *protocol.Response, offset int64) bool {
	first, total := contentRange(string(response.Header.Peek("Content-Range")))

	return response.StatusCode() == statusPartial && string(response.Header.Peek("ETag")) == d.etag && first == offset && total == d.total
}

// contentRange parses "bytes FIRST-LAST/TOTAL", and returns -1 for a number that can't be parsed.
func contentRange(value string) (first, total int64) {
	rest, found := strings.CutPrefix(value, "bytes ")
	if !found {
		return -1, -1
	}
	span, size, _ := strings.Cut(rest, "/")
	start, _, _ := strings.Cut(span, "-")
	first, err := strconv.ParseInt(start, 10, 64)
	if err != nil {
		return -1, -1
	}
	if total, err = strconv.ParseInt(size, 10, 64); err != nil {
		return first, -1
	}

	return first, total
}
