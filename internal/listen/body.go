package listen

import (
	"io"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/common/utils"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/budget"
)

const (
	// smallBody is the size in bytes up to which a body is read in one piece and not counted in the budget of the server.
	smallBody = 64 << 10
	// maxBodies bounds the larger bodies that a server holds at a time.
	maxBodies = 64 << 20
	// chunkedLength and noLength are the content lengths that hertz reports for a chunked body, and for a request without one.
	chunkedLength = -1
	noLength      = -2
)

// errBodiesFull means that the bodies of other requests take all memory for them.
var errBodiesFull = errors.New("bodies of other requests take all memory for them")

// body collects a large or chunked request body. Memory is taken as bytes arrive, and not by the length that the client states.
type body struct {
	bytes    []byte
	reserved int
	maxBytes int
	budget   *budget.Budget
}

// grow makes room for at least one more byte.
func (b *body) grow() error {
	if len(b.bytes) < cap(b.bytes) {
		return nil
	}
	capacity := max(2*cap(b.bytes), smallBody)
	if !b.budget.Reserve(capacity - cap(b.bytes)) {
		return errBodiesFull
	}
	b.reserved += capacity - cap(b.bytes)
	grown := make([]byte, len(b.bytes), capacity)
	copy(grown, b.bytes)
	b.bytes = grown

	return nil
}

// read appends exactly the given number of bytes.
func (b *body) read(reader io.Reader, length int) error {
	if length > b.maxBytes-len(b.bytes) {
		return hertzerrors.ErrBodyTooLarge
	}
	for end := len(b.bytes) + length; len(b.bytes) < end; {
		if err := b.grow(); err != nil {
			return err
		}
		n, err := reader.Read(b.bytes[len(b.bytes):min(cap(b.bytes), end)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if err != nil {
			return err
		}
	}

	return nil
}

// readChunks reads chunks until the last one.
func (b *body) readChunks(reader network.Reader, stream io.Reader) error {
	for {
		size, err := utils.ParseChunkSize(reader)
		if err != nil || size == 0 {
			return err
		}
		if err := b.read(stream, size); err != nil {
			return err
		}
		if err := utils.SkipCRLF(reader); err != nil {
			return err
		}
	}
}

// readBody reads the body of a request whose header has been read.
func (x *exchange) readBody(maxBody int, shared *budget.Budget) error {
	request := &x.ctx.Request
	length := request.Header.ContentLength()
	if length != chunkedLength && length <= smallBody || length == noLength {
		return req.ContinueReadBody(request, x.ctx.GetReader(), maxBody, false)
	}
	b := body{maxBytes: maxBody, budget: shared}
	defer func() { x.reserved = b.reserved }()
	if length != chunkedLength {
		if err := b.read(x.ctx.GetConn(), length); err != nil {
			return err
		}
		request.SetBodyRaw(b.bytes)

		return nil
	}
	if err := b.readChunks(x.ctx.GetReader(), x.ctx.GetConn()); err != nil {
		return err
	}
	if err := ext.ReadTrailer(request.Header.Trailer(), x.ctx.GetReader()); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	request.SetBodyRaw(b.bytes)
	request.Header.SetContentLength(len(b.bytes))

	return nil
}
