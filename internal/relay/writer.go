package relay

import (
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
)

// BodyWriter passes a stream on in windows, so that a cut is seen as a cut.
type BodyWriter struct {
	ctx    *app.RequestContext
	writer network.ExtWriter
}

// NewBodyWriter takes over the answer of the context; a negative length makes it chunked.
func NewBodyWriter(ctx *app.RequestContext, length int64) *BodyWriter {
	var writer network.ExtWriter
	if length < 0 {
		writer = resp.NewChunkedBodyWriter(&ctx.Response, ctx.GetWriter())
	} else {
		ctx.Response.Header.Set("Content-Length", strconv.FormatInt(length, 10))
		ctx.Response.Header.SetContentLength(int(length))
		writer = &lengthWriter{ctx: ctx}
	}
	ctx.Response.HijackWriter(writer)

	return &BodyWriter{ctx: ctx, writer: writer}
}

// Write sends one window.
func (w *BodyWriter) Write(p []byte) (int, error) {
	n, err := w.writer.Write(p)
	if err != nil {
		return n, err
	}

	return n, w.writer.Flush()
}

// Abort closes the connection, so that the receiver never takes the part for the whole.
func (w *BodyWriter) Abort() {
	w.ctx.Response.SetConnectionClose()
	w.ctx.Response.HijackWriter(cutWriter{})
	_ = w.ctx.GetConn().Close()
}

// lengthWriter writes a body whose length is known beforehand.
type lengthWriter struct {
	ctx    *app.RequestContext
	headed bool
}

// Write sends the header before the first bytes.
func (w *lengthWriter) Write(p []byte) (int, error) {
	if err := w.head(); err != nil {
		return 0, err
	}

	return w.ctx.GetWriter().WriteBinary(p)
}

// Flush sends what is buffered.
func (w *lengthWriter) Flush() error {
	return w.ctx.GetWriter().Flush()
}

// Finalize sends the header of an empty body.
func (w *lengthWriter) Finalize() error {
	return w.head()
}

func (w *lengthWriter) head() error {
	if w.headed {
		return nil
	}
	w.headed = true

	return resp.WriteHeader(&w.ctx.Response.Header, w.ctx.GetWriter())
}

// cutWriter ends an answer without another byte.
type cutWriter struct{}

// Write drops the bytes.
func (cutWriter) Write(p []byte) (int, error) { return len(p), nil }

// Flush does nothing.
func (cutWriter) Flush() error { return nil }

// Finalize does nothing.
func (cutWriter) Finalize() error { return nil }
