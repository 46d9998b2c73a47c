package relay

import (
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/pistachiotack/pistachiotack/internal/wire"
)

// BodyWriter writes a response body piece by piece and can abort it, so that the receiver notices that the body is incomplete.
type BodyWriter struct {
	ctx    *app.RequestContext
	writer network.ExtWriter
}

// NewBodyWriter takes over writing the response of the context. A negative length selects chunked encoding.
func NewBodyWriter(ctx *app.RequestContext, length int64) *BodyWriter {
	var writer network.ExtWriter
	if length < 0 {
		writer = resp.NewChunkedBodyWriter(&ctx.Response, ctx.GetWriter())
	} else {
		wire.SetField(&ctx.Response.Header, "Content-Length", strconv.FormatInt(length, 10))
		ctx.Response.Header.SetContentLength(int(length))
		writer = &lengthWriter{ctx: ctx}
	}
	ctx.Response.HijackWriter(writer)

	return &BodyWriter{ctx: ctx, writer: writer}
}

// Write sends the bytes and flushes them.
func (w *BodyWriter) Write(p []byte) (int, error) {
	n, err := w.writer.Write(p)
	if err != nil {
		return n, err
	}

	return n, w.writer.Flush()
}

// Abort closes the connection, so that the receiver cannot take a partial body for a complete one.
func (w *BodyWriter) Abort() {
	w.ctx.Response.SetConnectionClose()
	w.ctx.Response.HijackWriter(discardWriter{})
	_ = w.ctx.GetConn().Close()
}

// lengthWriter writes a body with a Content-Length.
type lengthWriter struct {
	ctx        *app.RequestContext
	headerSent bool
}

// Write writes the header before the first bytes.
func (w *lengthWriter) Write(p []byte) (int, error) {
	if err := w.writeHeader(); err != nil {
		return 0, err
	}

	return w.ctx.GetWriter().WriteBinary(p)
}

// Flush sends the buffered bytes.
func (w *lengthWriter) Flush() error {
	return w.ctx.GetWriter().Flush()
}

// Finalize writes the header if the body is empty.
func (w *lengthWriter) Finalize() error {
	return w.writeHeader()
}

func (w *lengthWriter) writeHeader() error {
	if w.headerSent {
		return nil
	}
	w.headerSent = true

	return resp.WriteHeader(&w.ctx.Response.Header, w.ctx.GetWriter())
}

// discardWriter discards what hertz would still write to an aborted response.
type discardWriter struct{}

// Write discards the bytes.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// Flush does nothing.
func (discardWriter) Flush() error { return nil }

// Finalize does nothing.
func (discardWriter) Finalize() error { return nil }
