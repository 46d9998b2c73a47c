package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/budget"
	"github.com/pistachiotack/pistachiotack/internal/heads"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// attempt is one request on one connection.
type attempt struct {
	pool       *pool
	limits     Limits
	response   *Response
	deadline   time.Time
	conn       *conn
	generation uint64
	// reused is true if the connection has carried other requests before.
	reused bool
	// stopWatching stops closing the connection on cancellation. It returns false if the connection is already being closed.
	stopWatching func() bool
	// skippedResponse is set when the connection carried a response to another request.
	skippedResponse bool
}

func (a *attempt) connect(ctx context.Context, now time.Time) error {
	a.conn, a.generation = a.pool.get(now)
	if a.conn != nil {
		a.reused = true

		return nil
	}
	var err error
	timeout := dialTimeout
	if a.limits.DialTimeout > 0 {
		timeout = a.limits.DialTimeout
	}
	if a.conn, err = dialConn(ctx, a.pool.address, min(timeout, a.deadline.Sub(now))); err != nil {
		return &Error{Stage: StageDial, Reason: a.dialReason(ctx), Cause: err}
	}

	return nil
}

// dialReason distinguishes an address that does not accept connections from an attempt that was cancelled or timed out while
// dialling.
func (a *attempt) dialReason(ctx context.Context) call.Reason {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return call.ReasonCancelled
	case ctx.Err() != nil || !time.Now().Before(a.deadline):
		return call.ReasonDeadline
	default:
		return call.ReasonConnect
	}
}

// run sends the request and reads the response. Cancelling the context closes the connection of the attempt.
func (a *attempt) run(ctx context.Context, request *protocol.Request) error {
	if request.Header.IsHead() {
		a.response.Response.SkipBody = true
	}
	conn := a.conn
	a.stopWatching = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := a.send(request); err != nil {
		return a.newError(ctx, StageWrite, call.ReasonBroken, err)
	}
	if err := a.waitForResponse(); err != nil {
		return a.newError(ctx, StageWait, waitReason(err), err)
	}
	if err := a.readHeader(); err != nil {
		// the header of a rejected response, or of one to another request, states nothing
		a.response.Response.Reset()

		return a.newError(ctx, StageWait, waitReason(err), err)
	}
	if err := a.readBody(); err != nil {
		return a.newError(ctx, StageBody, bodyReason(err), err)
	}

	return nil
}

// readHeader reads the response header and skips responses that belong to other requests.
func (a *attempt) readHeader() error {
	response := &a.response.Response
	for range maxSkippedResponses {
		if err := a.readFinalHeader(); err != nil {
			return err
		}
		if a.reused && !a.named() {
			// it may be a copy of an earlier response, and all responses on this connection have named their requests
			return errUnnamedResponse
		}
		if a.limits.Matches == nil || a.limits.Matches(&response.Header) {
			return nil
		}
		if response.Header.ContentLength() == closeDelimitedLength && !response.MustSkipBody() {
			return errWrongResponse
		}
		if _, err := a.bufferBody(); err != nil {
			return err
		}
		a.skippedResponse = true
		a.response.releaseBody()
		response.Reset()
		if err := a.waitForResponse(); err != nil {
			return err
		}
	}

	return errWrongResponse
}

// readFinalHeader reads the header of a response, and skips interim responses.
func (a *attempt) readFinalHeader() error {
	response := &a.response.Response
	begin := a.conn.consumed
	for {
		response.ResetBody()
		if err := heads.ReadResponse(&response.Header, a.conn); err != nil {
			return err
		}
		switch status := response.StatusCode(); {
		case status >= firstFinalStatus:
			return nil
		case status == http.StatusSwitchingProtocols:
			return errSwitchedProtocol
		case a.conn.consumed-begin > maxHeadBytes:
			return errHeadTooLong
		}
	}
}

// maxBufferedBody returns the largest size that the body can have.
func (a *attempt) maxBufferedBody() int {
	if length := a.response.Response.Header.ContentLength(); length >= 0 {
		return min(length, a.limits.MaxBodyBytes)
	}

	return a.limits.MaxBodyBytes
}

// bufferBody reads the body into memory, and reports whether bytes follow it.
func (a *attempt) bufferBody() (trailing bool, err error) {
	response := &a.response.Response
	if response.MustSkipBody() {
		return a.conn.Len() > 0, nil
	}
	pooled := response.BodyBuffer()
	buffer := budget.NewBuffer(a.limits.Buffers, pooled.B, a.maxBufferedBody())
	body := bodyReader{buffer: buffer, maxBytes: a.limits.MaxBodyBytes}
	switch length := response.Header.ContentLength(); length {
	case closeDelimitedLength:
		err = body.readToEnd(a.conn)
	case chunkedLength:
		trailing, err = body.readChunked(a.conn)
	default:
		err = body.readLength(a.conn, length)
	}
	pooled.B = buffer.Bytes()
	a.response.reserved += buffer.Reserved()
	if err != nil {
		return false, err
	}
	response.Header.SetContentLength(buffer.Len())

	return trailing || a.conn.Len() > 0, nil
}

func (a *attempt) send(request *protocol.Request) error {
	if err := a.conn.SetWriteDeadline(a.deadline); err != nil {
		return err
	}
	if err := req.Write(request, a.conn); err != nil {
		return err
	}

	return a.conn.Flush()
}

// waitForResponse waits for the first byte of the response and calls CheckProgress after each interval without one.
func (a *attempt) waitForResponse() error {
	for {
		until := a.deadline
		if a.limits.ProgressInterval > 0 && a.limits.CheckProgress != nil {
			until = earlier(until, time.Now().Add(a.limits.ProgressInterval))
		}
		if err := a.conn.SetReadDeadline(until); err != nil {
			return err
		}
		_, err := a.conn.Peek(1)
		switch {
		case err == nil:
			return a.conn.SetReadDeadline(a.deadline)
		case !isTimeout(err):
			return errors.CombineErrors(errClosedEarly, err)
		case until.Equal(a.deadline):
			return errDeadlineExceeded
		}
		if err := a.limits.CheckProgress(); err != nil {
			return err
		}
	}
}

func (a *attempt) readBody() error {
	response := &a.response.Response
	if response.Header.ContentLength() == closeDelimitedLength && !response.MustSkipBody() {
		return a.readCloseDelimitedBody()
	}
	if a.limits.Stream && successful(response.StatusCode()) {
		a.openStream()

		return nil
	}
	certainEnd := a.hasCertainEnd()
	trailing, err := a.bufferBody()
	if err != nil {
		return err
	}
	if trailing && !a.isCompleteDespiteTrailing(certainEnd) {
		return errTrailingBytes
	}
	a.release(!trailing && a.reusable())

	return nil
}

// hasCertainEnd reports whether the body can't go on behind its end: the last chunk marks the end, or the request asked for no body.
func (a *attempt) hasCertainEnd() bool {
	response := &a.response.Response

	return response.SkipBody || response.Header.ContentLength() == chunkedLength && !response.MustSkipBody()
}

// isCompleteDespiteTrailing reports whether Matches has identified the response, and the bytes behind it are not the rest of its body.
// The connection must not be reused.
func (a *attempt) isCompleteDespiteTrailing(certainEnd bool) bool {
	identified := a.limits.Matches != nil && a.named()

	return identified && (certainEnd || heads.MayBeginResponse(a.conn.unread()))
}

// readCloseDelimitedBody reads a body that ends when the server closes the connection.
func (a *attempt) readCloseDelimitedBody() error {
	if !a.limits.AllowCloseDelimited {
		return errNoLength
	}
	if _, err := a.bufferBody(); err != nil {
		return err
	}
	a.release(false)

	return nil
}

// named reports whether the response names its request, as far as servers have to.
func (a *attempt) named() bool {
	return a.limits.Named == nil || a.limits.Named(&a.response.Response.Header)
}

// reusable reports whether the connection may carry another request after the response.
func (a *attempt) reusable() bool {
	return a.named() && !a.skippedResponse && !a.response.Response.ConnectionClose()
}

// release stops watching the context and returns the connection to the pool if it may be reused.
func (a *attempt) release(reusable bool) {
	if !a.stopWatching() || !reusable {
		_ = a.conn.Close()

		return
	}
	_ = a.conn.Release()
	a.pool.put(a.conn, a.generation, time.Now())
}

func (a *attempt) newError(ctx context.Context, stage Stage, reason call.Reason, cause error) error {
	a.stopWatching()
	_ = a.conn.Close()
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = call.ReasonCancelled
	case ctx.Err() != nil || isTimeout(cause):
		reason = call.ReasonDeadline
	}

	return &Error{Stage: stage, Reason: reason, Reused: a.reused, Cause: cause}
}
