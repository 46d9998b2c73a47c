package listen

import (
	"io"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/budget"
	"github.com/pistachiotack/pistachiotack/internal/heads"
	"github.com/pistachiotack/pistachiotack/internal/wire"
)

// arrivalKey is the key under which a request context holds the time at which a delayed request arrived.
const arrivalKey = "listen.arrivedAt"

// sentKey is the key under which a request context holds the function that is called when its response is no longer held.
const sentKey = "listen.sent"

// headerConnection is the header that says whether the connection ends with the response.
const headerConnection = "Connection"

// responseContinue is the interim response that asks the client for the request body.
const responseContinue = "HTTP/1.1 100 Continue\r\n\r\n"

// fullRetryAfter is the Retry-After in seconds of a request whose body finds no memory.
const fullRetryAfter = "1"

// errAbandoned means that the connection ends with the response to an earlier request.
var errAbandoned = errors.New("request behind a response that closes the connection")

// exchange is a request of a connection and its response.
type exchange struct {
	ctx       *app.RequestContext
	sequence  int
	arrivedAt time.Time
	exclusive bool
	// reserved is the number of bytes that the request body takes of the server's budget.
	reserved int
	// extendRead sets how long the read of the request may take from now on. It returns errAbandoned if the request is not wanted any more.
	extendRead func(timeout time.Duration) error
	// closes is true if the client asked to close the connection after the response.
	closes bool
}

// ArrivedAt returns when the request was read, which is earlier than its handler was called if it had to wait for the requests before
// it on the connection.
func ArrivedAt(ctx *app.RequestContext) time.Time {
	if at, found := ctx.Get(arrivalKey); found {
		if arrivedAt, ok := at.(time.Time); ok {
			return arrivedAt
		}
	}

	return time.Now()
}

// OnSent sets the function to be called once the response to the request has been sent, or never will be. It must not block.
func OnSent(ctx *app.RequestContext, sent func()) {
	ctx.Set(sentKey, sent)
}

// markArrival makes the arrival available to the handler if it starts later.
func (x *exchange) markArrival() {
	x.ctx.Set(arrivalKey, x.arrivedAt)
}

// responseBytes returns the size of the finished response in memory.
func (x *exchange) responseBytes() int {
	return len(x.ctx.Response.BodyBytes())
}

// write writes the response to the connection.
func (x *exchange) write(last bool) error {
	response := &x.ctx.Response
	header := &response.Header
	header.ResetConnectionClose()
	switch {
	case last:
		wire.SetField(header, headerConnection, "close")
	case !x.ctx.Request.Header.IsHTTP11():
		wire.SetField(header, headerConnection, "keep-alive")
	}
	if !x.ctx.IsGet() && x.ctx.IsHead() {
		response.SkipBody = true
	}
	writer := x.ctx.GetWriter()
	if hijacked := response.GetHijackWriter(); hijacked != nil {
		if err := hijacked.Finalize(); err != nil {
			return err
		}

		return writer.Flush()
	}
	if err := resp.Write(response, writer); err != nil {
		return err
	}

	return writer.Flush()
}

// read reads the request header, and the body unless the client waits for an interim response before it sends the body.
func (x *exchange) read(server *Server) error {
	limits := server.limits()
	if err := req.ReadHeaderWithLimit(&x.ctx.Request.Header, heads.NewReader(x.ctx.GetReader()), limits.MaxHeader); err != nil {
		return err
	}
	if x.ctx.Request.MayContinue() {
		return nil
	}

	return x.readBody(limits.MaxBody, server.bodies)
}

// readContinued asks the client for the request body, and reads it.
func (x *exchange) readContinued(server *Server) error {
	writer := x.ctx.GetWriter()
	if _, err := writer.WriteBinary([]byte(responseContinue)); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}

	return x.readBody(server.limits().MaxBody, server.bodies)
}

// disconnected reports whether a read failed because the client has closed the connection without a further request.
func disconnected(err error) bool {
	return errors.Is(err, hertzerrors.ErrNothingRead) || errors.Is(err, io.EOF)
}

// reject makes the response to a request that could not be read.
func (x *exchange) reject(err error) {
	var fault net.Error
	switch {
	case errors.Is(err, budget.ErrFull):
		x.ctx.AbortWithMsg(budget.ErrFull.Error(), consts.StatusServiceUnavailable)
		wire.SetField(&x.ctx.Response.Header, wire.HeaderRetryAfter, fullRetryAfter)
	case errors.As(err, &fault) && fault.Timeout():
		x.ctx.AbortWithMsg("Request timeout", consts.StatusRequestTimeout)
	case errors.Is(err, hertzerrors.ErrBodyTooLarge):
		x.ctx.AbortWithMsg("Request Entity Too Large", consts.StatusRequestEntityTooLarge)
	case errors.Is(err, hertzerrors.ErrHeaderTooLarge):
		x.ctx.AbortWithMsg("Request Header Fields Too Large", consts.StatusRequestHeaderFieldsTooLarge)
	default:
		x.ctx.AbortWithMsg("Error when parsing request", consts.StatusBadRequest)
	}
}
