package listen

import (
	"context"
	"log/slog"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/pistachiotack/pistachiotack/internal/panics"
)

// start runs the handler. The mutex must be held.
func (c *connection) start(ctx context.Context, x *exchange) {
	c.handlers.Add(1)
	go func() {
		defer c.handlers.Done()
		c.handle(ctx, x)
		c.complete(x)
		c.sendResponses(ctx)
	}()
}

// handle calls the handler. A panic becomes an error response to this request, so that it doesn't end the process.
func (c *connection) handle(ctx context.Context, x *exchange) {
	err := panics.Do(ctx, slog.Default(), "request", func(ctx context.Context) error {
		c.protocol.core.ServeHTTP(ctx, x.ctx)

		return nil
	})
	if err != nil {
		x.ctx.Response.Reset()
		x.ctx.AbortWithMsg("panic while the request was handled", consts.StatusInternalServerError)
		x.ctx.Response.SetConnectionClose()
	}
}

func (c *connection) complete(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	closes := x.closes || x.ctx.Response.ConnectionClose()
	c.queue.Complete(x.sequence, x.responseBytes(), closes)
	if closes && c.reading {
		c.wakeReader()
	}
}

// sendResponses writes the responses that are due, unless another goroutine is doing so.
func (c *connection) sendResponses(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return
	}
	c.writing = true
	defer func() { c.writing = false }()
	for {
		sequence, last, found := c.queue.NextResponse()
		if !found {
			return
		}
		x := c.exchanges[sequence]
		c.mu.Unlock()
		err := c.write(ctx, x, last)
		c.mu.Lock()
		if err != nil {
			c.queue.HangUp()
			c.cancel()
			c.wakeReader()

			return
		}
		c.sent(ctx, x)
	}
}

// write writes one response. A panic of the library while it encodes the response ends the connection only.
func (c *connection) write(ctx context.Context, x *exchange, last bool) error {
	return panics.Do(ctx, slog.Default(), "response", func(context.Context) error {
		if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if err := x.write(last); err != nil {
			return err
		}

		return c.conn.SetWriteDeadline(time.Time{})
	})
}

// sent removes the exchange, starts the one that has waited for it, and tells the reader. The mutex must be held.
func (c *connection) sent(ctx context.Context, x *exchange) {
	c.drop(x)
	if next, start := c.queue.Sent(); start {
		c.start(ctx, c.exchanges[next])
	}
	switch {
	case c.queue.Ended(), c.parked && c.unread > 0:
		c.wakeReader()
	case c.queue.Open() == 0 && (c.idle || c.parked):
		c.idle, c.parked = true, false
		c.setIdleDeadline(0)
	}
	c.notify()
}

// wakeReader ends the reader's wait for bytes of the client. The mutex must be held.
func (c *connection) wakeReader() {
	if c.idle || c.parked || c.reading {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.notify()
}

func (c *connection) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func (c *connection) hangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.HangUp()
	c.cancel()
}
