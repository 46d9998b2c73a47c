package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/budget"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Causes in an Error. Their texts become part of the refusal details that callers receive.
var (
	errClosedEarly      = errors.New("connection closed before the first byte of an answer")
	errNoLength         = errors.New("answer states no length")
	errDeadlineExceeded = errors.New("no time left")
	errTrailingBytes    = errors.New("bytes after the end of the answer")
	errTooLong          = errors.New("answer is longer than allowed")
	errWrongResponse    = errors.New("answer belongs to another request")
	errUnnamedResponse  = errors.New("answer on a kept connection names no request")
	errHeadTooLong      = errors.New("header is longer than allowed")
	errSwitchedProtocol = errors.New("answer switches to a protocol that was not asked for")
	errEndless          = errors.New("answer without a length is longer than allowed")
)

// Idle timeouts of pooled connections. Each is shorter than the idle timeout of the server at the other end, so that a request is
// not sent on a connection that the server is closing.
const (
	PeerIdleTimeout    = 30 * time.Second
	BackendIdleTimeout = 2 * time.Second
)

// Client sends requests over pooled connections, one pool per address.
type Client struct {
	idleTimeout time.Duration
	mu          sync.RWMutex
	pools       map[string]*pool
}

// NewClient returns a client that closes connections after the idle timeout, and a function that closes the client.
func NewClient(idleTimeout time.Duration) (*Client, func()) {
	c := &Client{idleTimeout: idleTimeout, pools: map[string]*pool{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go c.runCleanup(ctx, done)

	return c, func() {
		cancel()
		<-done
		c.close()
	}
}

// Limits are the bounds and options of one attempt.
type Limits struct {
	// MaxBodyBytes is the maximum size of a buffered response body.
	MaxBodyBytes int
	// Stream leaves the body of a successful response unbuffered, to be read from Response.Stream.
	Stream bool
	// ProgressInterval is the time without data after which a stream fails with ErrStalled, and the interval at which CheckProgress is
	// called while waiting for the response. CheckProgress ends the attempt by returning an error.
	ProgressInterval time.Duration
	CheckProgress    func() error
	// DialTimeout bounds connection establishment; zero means the default.
	DialTimeout time.Duration
	// AllowCloseDelimited accepts a response without a length, whose body ends when the server closes the connection.
	AllowCloseDelimited bool
	// Deadline bounds the attempt; zero means the deadline of the context.
	Deadline time.Time
	// Buffers bounds the bodies of all responses of several attempts together; nil for no such bound.
	Buffers *budget.Budget
	// Matches reports whether a response belongs to the request; responses that do not are skipped. If nil, every response belongs
	// to it.
	Matches func(header *protocol.ResponseHeader) bool
	// Named reports whether a response names its request. The connection of one that doesn't is not reused, since a late copy of the
	// response could not be told from the next one; on a reused connection it fails the attempt. If nil, connections are reused regardless.
	Named func(header *protocol.ResponseHeader) bool
}

const (
	// maxSkippedResponses is the number of responses to other requests after which an attempt fails.
	maxSkippedResponses = 3
	// maxHeadBytes bounds the header of a response together with the interim responses before it.
	maxHeadBytes = maxPeekBytes
	// firstFinalStatus is the lowest status of a response that is not an interim one.
	firstFinalStatus = 200
)

// Do sends the request once and reads the response. It needs a deadline in the limits or the context. Errors are of type *Error.
func (c *Client) Do(ctx context.Context, address string, request *protocol.Request, response *Response, limits Limits) error {
	deadline := limits.Deadline
	if deadline.IsZero() {
		deadline, _ = ctx.Deadline()
	}
	if deadline.IsZero() {
		return &Error{Stage: StageDial, Reason: call.ReasonBadRequest, Cause: errors.New("attempt without deadline")}
	}
	now := time.Now()
	if !deadline.After(now) {
		return &Error{Stage: StageDial, Reason: call.ReasonDeadline, Cause: errDeadlineExceeded}
	}
	response.buffers = limits.Buffers
	attempt := &attempt{pool: c.pool(address), limits: limits, response: response, deadline: deadline}
	if err := attempt.connect(ctx, now); err != nil {
		return err
	}

	return attempt.run(ctx, request)
}

// CloseConnections closes the idle connections to the address at once, and those in use at the end of their attempts.
func (c *Client) CloseConnections(address string) {
	c.pool(address).closeIdle()
}

func (c *Client) pool(address string) *pool {
	c.mu.RLock()
	p := c.pools[address]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p = c.pools[address]; p == nil {
		p = &pool{address: address, idleTimeout: c.idleTimeout}
		c.pools[address] = p
	}

	return p
}

// runCleanup periodically closes connections past their idle timeout and removes pools without idle connections.
func (c *Client) runCleanup(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(c.idleTimeout)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			c.closeExpired(now)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) closeExpired(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if p.closeExpired(now) {
			delete(c.pools, address)
		}
	}
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.closeIdle()
	}
}
