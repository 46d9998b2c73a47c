package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Errors that a fault wraps.
var (
	errStale     = errors.New("connection closed before the first byte of an answer")
	errNoLength  = errors.New("answer states no length")
	errNoTime    = errors.New("no time left")
	errLeftovers = errors.New("bytes after the end of the answer")
	errTooLong   = errors.New("answer is longer than allowed")
	errForeign   = errors.New("answer belongs to another request")
)

// Times after which an idle connection is not used again, each shorter than what its server waits.
const (
	PeerIdleTimeout    = 30 * time.Second
	BackendIdleTimeout = 2 * time.Second
)

// Client makes attempts and keeps connections between them.
type Client struct {
	idle  time.Duration
	mu    sync.RWMutex
	pools map[string]*pool
}

// NewClient returns a client without connections, and the function that closes those it keeps.
func NewClient(idle time.Duration) (*Client, func()) {
	c := &Client{idle: idle, pools: map[string]*pool{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go c.sweep(ctx, done)

	return c, func() {
		cancel()
		<-done
		c.close()
	}
}

// Limits bounds one attempt.
type Limits struct {
	// MaxBodyBytes is the largest answer in bytes that is buffered.
	MaxBodyBytes int
	// Stream asks for the body as a stream if the answer is successful.
	Stream bool
	// Waiting is called each time ProgressInterval has passed without an answer, and may end the attempt.
	ProgressInterval time.Duration
	CheckProgress    func() error
	// DialTimeout bounds the time for a new connection, zero for the default.
	DialTimeout time.Duration
	// AllowCloseDelimited takes an answer without a length, which is whole if its connection ends cleanly.
	AllowCloseDelimited bool
	// Deadline bounds the attempt, zero for the context's deadline.
	Deadline time.Time
	// Matches reports whether an answer belongs to the request, nil if all do; others are read over.
	Matches func(header *protocol.ResponseHeader) bool
}

// foreignMost bounds how many answers to other requests one attempt reads over.
const foreignMost = 3

// Do makes one attempt within the deadline of the limits or the context; a *Fault says how far a failed one came.
func (c *Client) Do(ctx context.Context, address string, request *protocol.Request, answer *Response, limits Limits) error {
	deadline := limits.Deadline
	if deadline.IsZero() {
		deadline, _ = ctx.Deadline()
	}
	if deadline.IsZero() {
		return &Error{Stage: StageDial, Reason: call.ReasonBadRequest, Cause: errors.New("attempt without deadline")}
	}
	now := time.Now()
	if !deadline.After(now) {
		return &Error{Stage: StageDial, Reason: call.ReasonDeadline, Cause: errNoTime}
	}
	attempt := &attempt{pool: c.pool(address), limits: limits, answer: answer, deadline: deadline}
	if err := attempt.open(ctx, now); err != nil {
		return err
	}

	return attempt.run(ctx, request)
}

// CloseConnections closes the connections to the address, those in use too as soon as they are done.
func (c *Client) CloseConnections(address string) {
	c.pool(address).drop()
}

func (c *Client) pool(address string) *pool {
	c.mu.RLock()
	known := c.pools[address]
	c.mu.RUnlock()
	if known != nil {
		return known
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known = c.pools[address]; known == nil {
		known = &pool{address: address, timeout: c.idle}
		c.pools[address] = known
	}

	return known
}

// sweep closes connections that nobody used for long, and forgets addresses without any.
func (c *Client) sweep(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ticker := time.NewTicker(c.idle)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			c.retire(now)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) retire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if p.retire(now) {
			delete(c.pools, address)
		}
	}
}

func (c *Client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.drop()
	}
}

type attempt struct {
	pool       *pool
	limits     Limits
	answer     *Response
	deadline   time.Time
	conn       *conn
	generation uint64
	cancelled  func() bool
	// foreign says that an answer to another request came on the connection.
	foreign bool
}

func (a *attempt) open(ctx context.Context, now time.Time) error {
	a.conn, a.generation = a.pool.get(now)
	if a.conn != nil {
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

// dialReason tells an address that took no connection from an attempt that ended before it could.
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

// run sends the request and reads the answer; a cancelled context closes the attempt's own connection.
func (a *attempt) run(ctx context.Context, request *protocol.Request) error {
	if request.Header.IsHead() {
		a.answer.Response.SkipBody = true
	}
	conn := a.conn
	a.cancelled = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := a.send(request); err != nil {
		return a.fail(ctx, StageWrite, call.ReasonBroken, err)
	}
	if err := a.wait(); err != nil {
		return a.fail(ctx, StageWait, waitReason(err), err)
	}
	if err := a.head(); err != nil {
		return a.fail(ctx, StageWait, waitReason(err), err)
	}
	if err := a.body(ctx); err != nil {
		return a.fail(ctx, StageBody, bodyReason(err), err)
	}

	return nil
}

// head reads the header of the answer, and reads over answers that belong to other requests.
func (a *attempt) head() error {
	response := &a.answer.Response
	for range foreignMost {
		if err := resp.ReadHeaders(response, a.conn); err != nil {
			return err
		}
		if a.limits.Matches == nil || a.limits.Matches(&response.Header) {
			return nil
		}
		if response.Header.ContentLength() == identityLength && !response.MustSkipBody() {
			return errForeign
		}
		if err := resp.ReadRespBody(response, a.conn, a.limits.MaxBodyBytes); err != nil {
			return err
		}
		a.foreign = true
		response.Reset()
		if err := a.wait(); err != nil {
			return err
		}
	}

	return errForeign
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

// wait returns at the first byte of the answer; each silent interval it asks whether to go on.
func (a *attempt) wait() error {
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
			return errors.CombineErrors(errStale, err)
		case until.Equal(a.deadline):
			return errNoTime
		}
		if err := a.limits.CheckProgress(); err != nil {
			return err
		}
	}
}

func (a *attempt) body(ctx context.Context) error {
	response := &a.answer.Response
	if response.Header.ContentLength() == identityLength && !response.MustSkipBody() {
		return a.bodyToEnd()
	}
	if a.limits.Stream && successful(response.StatusCode()) {
		return a.stream(ctx)
	}
	if err := resp.ReadRespBody(response, a.conn, a.limits.MaxBodyBytes); err != nil {
		return err
	}
	// an answer that is known by its ID is whole whatever comes behind it, but nothing more may come from that connection
	more := a.conn.Len() > 0
	if more && a.limits.Matches == nil {
		return errLeftovers
	}
	a.release(!more && !a.foreign && !response.ConnectionClose())

	return nil
}

// bodyToEnd reads a body that is delimited by the end of its connection.
func (a *attempt) bodyToEnd() error {
	if !a.limits.AllowCloseDelimited {
		return errNoLength
	}
	body, err := a.conn.readToEnd(a.limits.MaxBodyBytes)
	if err != nil {
		return err
	}
	a.answer.Response.SetBodyRaw(body)
	a.release(false)

	return nil
}

// release ends the watch on the context and keeps the connection if it is clean.
func (a *attempt) release(clean bool) {
	if !a.cancelled() || !clean {
		_ = a.conn.Close()

		return
	}
	_ = a.conn.Release()
	a.pool.put(a.conn, a.generation, time.Now())
}

func (a *attempt) fail(ctx context.Context, stage Stage, reason call.Reason, cause error) error {
	a.cancelled()
	_ = a.conn.Close()
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = call.ReasonCancelled
	case ctx.Err() != nil || isTimeout(cause):
		reason = call.ReasonDeadline
	}

	return &Error{Stage: stage, Reason: reason, Cause: cause}
}
