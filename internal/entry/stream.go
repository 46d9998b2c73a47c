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
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	streamWindow  = 32 << 10
	statusPartial = 206
)

var (
	errCallerGone   = errors.New("caller stopped reading")
	errNotResumable = errors.New("archive cannot be resumed")
)

// archive is a download on its way to the caller, which may go on from another target.
type archive struct {
	request *request
	writer  *relay.BodyWriter
	answer  *relay.Response
	tag     string
	// first and total place the caller's bytes in the whole archive, total -1 if unknown.
	first int64
	total int64
	sent  int64
	// resumed is how many bytes were sent when the last attempt for the rest began.
	resumed int64
	// length is how many bytes the caller expects, -1 if unknown.
	length int64
}

// passStream sends an archive, and resumes it on another target after a cut.
func (r *request) passStream(c context.Context, target member.Entry, answer *relay.Response) {
	a := newArchive(r, answer)
	a.writer = relay.NewBodyWriter(r.http, a.length)
	for {
		err := a.copy()
		a.answer.Close()
		if err == nil {
			return
		}
		r.decide(trace.Decision{
			Step: trace.StepAttempt, Chosen: target.ID, Outcome: call.OutcomeUnknown, Reason: call.ReasonTorn, Detail: err.Error(),
		})
		if errors.Is(err, errCallerGone) || !a.resume(c, err) {
			a.writer.Abort()

			return
		}
	}
}

func newArchive(r *request, answer *relay.Response) *archive {
	header := &answer.Response.Header
	a := &archive{request: r, answer: answer, length: answer.Stream.Length, total: answer.Stream.Length}
	if tag := string(header.Peek("ETag")); strings.HasPrefix(tag, `"`) {
		a.tag = tag
	}
	if answer.Response.StatusCode() == statusPartial {
		a.first, a.total = contentRange(string(header.Peek("Content-Range")))
	}

	return a
}

// copy passes windows on until the end of the stream.
func (a *archive) copy() error {
	window := make([]byte, streamWindow)
	for {
		n, err := a.answer.Stream.Read(window)
		if n > 0 {
			if _, writeErr := a.writer.Write(window[:n]); writeErr != nil {
				return errors.CombineErrors(errCallerGone, writeErr)
			}
			a.sent += int64(n)
		}
		switch {
		case a.length >= 0 && a.sent == a.length:
			return nil
		case errors.Is(err, io.EOF):
			return a.ended()
		case err != nil:
			return err
		}
	}
}

func (a *archive) ended() error {
	if a.length >= 0 && a.sent < a.length {
		return io.ErrUnexpectedEOF
	}

	return nil
}

// resume goes on from the first byte that is missing, on any target that has the same archive.
func (a *archive) resume(c context.Context, cause error) bool {
	if a.tag == "" || a.length < 0 || a.total < 0 {
		a.request.decide(trace.Decision{Step: trace.StepRetry, Outcome: call.OutcomeUnknown, Reason: call.ReasonTorn, Detail: errNotResumable.Error()})

		return false
	}
	failure := call.NewRefusal(call.OutcomeUnknown, call.ReasonTorn).WithDetail("%v", cause)
	for c.Err() == nil {
		if !a.progressed() && a.request.pause(c, failure) != nil {
			return false
		}
		a.request.attempt++
		if failure = a.again(c); failure == nil {
			return true
		}
	}

	return false
}

// progressed reports whether bytes came since the last attempt; going on after some is no retry, but costs credits.
func (a *archive) progressed() bool {
	before := a.resumed
	a.resumed = a.sent

	return a.sent > before
}

// again makes one attempt for the rest.
func (a *archive) again(c context.Context) *call.Refusal {
	header := &a.request.http.Request.Header
	from := a.first + a.sent
	header.Set("Range", "bytes="+strconv.FormatInt(from, 10)+"-"+strconv.FormatInt(a.first+a.length-1, 10))
	header.Set("If-Range", a.tag)
	answer, failure := a.request.fetch(c)
	if failure != nil {
		return failure
	}
	if !a.continues(&answer.Response, from) || answer.Stream == nil {
		answer.Close()

		return call.NewRefusal(call.OutcomeUnknown, call.ReasonTorn).WithDetail("%v", errNotResumable).WithFinal()
	}
	a.answer = answer

	return nil
}

// continues reports whether the answer is the rest of the same archive.
func (a *archive) continues(answer *protocol.Response, from int64) bool {
	first, total := contentRange(string(answer.Header.Peek("Content-Range")))

	return answer.StatusCode() == statusPartial && string(answer.Header.Peek("ETag")) == a.tag && first == from && total == a.total
}

// contentRange reads "bytes FIRST-LAST/TOTAL", -1 for what it cannot read.
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
