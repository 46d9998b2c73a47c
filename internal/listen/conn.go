package listen

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/order"

	"github.com/pistachiotack/pistachiotack/internal/panics"
)

const (
	// maxPipelined is the number of requests of one connection that may be in progress, and maxHeldResponses the size in bytes of
	// responses that may wait for an earlier one, before further requests stay unread.
	maxPipelined     = 16
	maxHeldResponses = 1 << 20
	// maxUnread is the number of bytes behind an exclusive request that are buffered to notice when the client closes the connection.
	maxUnread = 64 << 10
	// hangUpInterval is the time between checks whether the client has closed a connection with more unread bytes.
	hangUpInterval = 100 * time.Millisecond
	// writeTimeout bounds the time to write a response to a client that reads slowly.
	writeTimeout = 30 * time.Second
	// lingerTimeout and maxLingerBytes bound the wait for the end of requests that the client has sent behind the last response.
	// Closing the connection with unread bytes would reset it, and the client could lose the response.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// connection is one connection of a client. One goroutine reads requests, each request is handled in a goroutine of its own, and
// whichever of these completes the oldest request writes the responses that are due.
type connection struct {
	protocol *protocolServer
	conn     network.Conn
	socket   net.Conn
	cancel   context.CancelFunc
	handlers sync.WaitGroup
	// changed wakes the reader when it waits for a response to be sent.
	changed chan struct{}

	mu        sync.Mutex
	queue     *order.Queue
	exchanges map[int]*exchange
	writing   bool
	// idle is true while the reader waits for the first byte of a request, parked while it must not read a request but watches the
	// connection for its end, and reading while it reads a request.
	idle, parked, reading bool
	// unread is the number of bytes in the input buffer while the reader is parked.
	unread int
	// served is true once a request has been read.
	served bool
	// mayHaveUnread is true once a request has arrived before the response to the one before it was sent, or has been rejected or
	// abandoned: the client may have sent bytes that are never read.
	mayHaveUnread bool
}

func newConnection(protocol *protocolServer, conn network.Conn, socket net.Conn) *connection {
	return &connection{
		protocol:  protocol,
		conn:      conn,
		socket:    socket,
		changed:   make(chan struct{}, 1),
		queue:     order.NewQueue(order.Limits{Requests: maxPipelined, HeldBytes: maxHeldResponses}),
		exchanges: map[int]*exchange{},
	}
}

// serve reads requests until the connection ends, and returns after all handlers have returned.
func (c *connection) serve(ctx context.Context) error {
	// the connection is closed whatever its end was, and a panic has been logged
	_ = panics.Do(ctx, slog.Default(), "connection", c.readRequests)

	return hertzerrors.ErrShortConnection
}

func (c *connection) readRequests(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	defer c.cancel()
	defer context.AfterFunc(c.protocol.server.handlerContext, c.cancel)()
	defer c.end()
	for c.waitForRequest() {
		if err := c.acceptRequest(ctx); err != nil {
			return err
		}
	}

	return nil
}

// end cancels the requests that are still in progress if the client has hung up, and lets the client read the last response.
func (c *connection) end() {
	c.mu.Lock()
	c.endRead()
	answered := c.queue.Ended() && c.queue.Open() == 0
	linger := answered && c.mayHaveUnread
	if !answered {
		c.queue.HangUp()
	}
	c.mu.Unlock()
	if linger {
		c.linger()
	}
	c.cancel()
	_ = c.conn.Close()
	c.handlers.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.exchanges {
		c.drop(x)
	}
}

// drop removes an exchange whose response has been sent, or never will be. The mutex must be held.
func (c *connection) drop(x *exchange) {
	delete(c.exchanges, x.sequence)
	c.protocol.server.bodies.Release(x.reserved)
	if sent, found := x.ctx.Get(sentKey); found {
		if call, ok := sent.(func()); ok {
			call()
		}
	}
	c.protocol.server.endRequest()
	c.protocol.recycle(x.ctx)
}

// linger closes the connection for writing, and discards what the client still sends.
func (c *connection) linger() {
	socket, ok := c.socket.(interface{ CloseWrite() error })
	if !ok || socket.CloseWrite() != nil {
		return
	}
	if err := c.socket.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.socket, maxLingerBytes)
}

// waitForRequest waits until the first bytes of a request have arrived that may be read, and reports whether there is one.
func (c *connection) waitForRequest() bool {
	for {
		ready, ended := c.beginWait()
		if ended {
			return false
		}
		wanted := 1
		if !ready {
			wanted += c.conn.Len()
		}
		if wanted > maxUnread {
			if !c.waitForChange() {
				c.hangUp()

				return false
			}

			continue
		}
		_, err := c.conn.Peek(wanted)
		switch {
		case err == nil && ready:
			if c.beginRead() {
				return true
			}
		case err == nil:
		case !c.interrupted(err):
			c.hangUp()

			return false
		}
	}
}

// beginWait prepares the connection for the wait for further bytes, and reports whether a request may be read then and whether the
// connection is over.
func (c *connection) beginWait() (ready, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.Ended() {
		return false, true
	}
	ready = c.queue.MayRead()
	c.idle, c.parked, c.unread = ready, !ready, c.conn.Len()
	c.mayHaveUnread = c.mayHaveUnread || c.parked && c.unread > 0
	c.setIdleDeadline(c.queue.Open())

	return ready, false
}

// waitForChange waits until a response has been sent. It returns false if the client has closed the connection meanwhile, which a read
// would show only after all bytes before it.
func (c *connection) waitForChange() bool {
	ticker := time.NewTicker(hangUpInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.changed:
			return true
		case <-ticker.C:
			if closedByPeer(c.socket) {
				return false
			}
		}
	}
}

// setIdleDeadline bounds the wait for the next request while none is in progress. The mutex must be held.
func (c *connection) setIdleDeadline(open int) {
	deadline := time.Time{}
	switch {
	case open > 0:
	case c.served:
		deadline = time.Now().Add(c.protocol.server.limits().IdleTimeout)
	default:
		deadline = time.Now().Add(c.protocol.server.firstTimeout())
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// interrupted reports whether a read ended because the reader was woken, and not because the client has hung up or was idle for too
// long.
func (c *connection) interrupted(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.parked || c.queue.Open() > 0 || c.queue.Ended()
}

// beginRead prepares the connection for reading a request whose first bytes have arrived. It returns false if the request must not be
// read any more.
func (c *connection) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	if !c.queue.BeginRead() {
		c.mayHaveUnread = true

		return false
	}
	c.reading, c.served = true, true
	c.protocol.server.reading.Add(1)
	_ = c.conn.SetReadDeadline(time.Now().Add(c.protocol.server.limits().HeaderTimeout))

	return true
}

// endRead notes that no request is being read any more. The mutex must be held.
func (c *connection) endRead() {
	if c.reading {
		c.reading = false
		c.protocol.server.reading.Add(-1)
	}
}

// extendRead gives the request that is being read more time. It returns errAbandoned if the request is not wanted any more.
func (c *connection) extendRead(timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.queue.Reading() {
		return errAbandoned
	}

	return c.conn.SetReadDeadline(time.Now().Add(timeout))
}

// acceptRequest reads a request and starts it unless it has to wait. The error is not nil if the connection can't be used any more.
func (c *connection) acceptRequest(ctx context.Context) error {
	x := &exchange{ctx: c.protocol.acquire(c.conn), arrivedAt: time.Now(), extendRead: c.extendRead}
	err := x.read(c.protocol.server)
	if err == nil && x.ctx.Request.MayContinue() {
		if err = c.waitForResponses(); err == nil {
			err = x.readContinued(c.protocol.server)
		}
	}
	if err != nil && disconnected(err) {
		c.discard(x)
		c.hangUp()

		return err
	}
	x.exclusive = err != nil || !c.protocol.server.repeatable(&x.ctx.Request.Header)
	x.closes = err != nil || x.ctx.Request.Header.ConnectionClose()
	if err != nil {
		x.reject(err)
	}
	// neither header nor body refer to the input buffer
	_ = c.conn.Release()
	c.enqueue(ctx, x, err == nil)

	return nil
}

// discard frees what a request holds that has not been added to the queue.
func (c *connection) discard(x *exchange) {
	c.protocol.server.bodies.Release(x.reserved)
	c.protocol.recycle(x.ctx)
}

// waitForResponses waits until no request is in progress, since an interim response must not overtake other responses.
func (c *connection) waitForResponses() error {
	for {
		c.mu.Lock()
		open, reading := c.queue.Open(), c.queue.Reading()
		c.mu.Unlock()
		if !reading {
			return errAbandoned
		}
		if open == 0 {
			return nil
		}
		<-c.changed
	}
}

// enqueue adds a request to the queue unless it has been abandoned. One that could not be read already has its response.
func (c *connection) enqueue(ctx context.Context, x *exchange, handled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.endRead()
	c.mayHaveUnread = c.mayHaveUnread || !handled || c.queue.Open() > 0
	sequence, start, accepted := c.queue.Accept(order.Request{Exclusive: x.exclusive && handled, Last: x.closes})
	if !accepted {
		c.mayHaveUnread = true
		c.discard(x)

		return
	}
	c.protocol.server.beginRequest()
	x.sequence = sequence
	c.exchanges[x.sequence] = x
	switch {
	case !handled:
		c.queue.Complete(x.sequence, x.responseBytes(), true)
		c.handlers.Add(1)
		go func() {
			defer c.handlers.Done()
			c.sendResponses(ctx)
		}()
	case start:
		c.start(ctx, x)
	default:
		x.markArrival()
	}
}
