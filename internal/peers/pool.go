package peers

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// pool holds at most one usable connection per peer, and at most Options.MaxConnections in total.
type pool struct {
	options  Options
	counters *counters

	mu        sync.Mutex
	conns     map[string]*pooledConn
	openCount int
	stopped   bool
	// released is closed and replaced when a connection may have become available, to wake the waiting calls.
	released chan struct{}
}

func newPool(options Options, counters *counters) *pool {
	return &pool{
		options:  options,
		counters: counters,
		conns:    map[string]*pooledConn{},
		released: make(chan struct{}),
	}
}

// call runs one call. If the pooled connection had closed before the call was sent, it retries once.
func (p *pool) call(ctx context.Context, address, method string, args, reply any) error {
	err := p.tryCall(ctx, address, method, args, reply)
	if errors.Is(err, errNotSent) {
		err = p.tryCall(ctx, address, method, args, reply)
	}
	if errors.Is(err, errNotSent) {
		return &CallError{Address: address, Kind: ErrConnectionLost, Cause: err}
	}

	return err
}

// tryCall runs one call without a retry.
func (p *pool) tryCall(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.acquire(ctx, address)
	if err != nil {
		return err
	}
	err = c.call(ctx, method, args, reply)
	p.release(c, err == nil || errors.Is(err, ErrRemote))

	return err
}

// acquire returns the connection to the address, and dials if there is none. The caller must release it.
func (p *pool) acquire(ctx context.Context, address string) (*pooledConn, error) {
	c, dial, err := p.reserve(ctx, address)
	if err != nil {
		return nil, err
	}
	if dial {
		p.dial(ctx, c)
	}
	select {
	case <-c.dialDone:
	case <-ctx.Done():
		p.release(c, true)

		return nil, unreachableError(address, ctx.Err())
	}
	if c.err != nil {
		p.release(c, false)

		return nil, unreachableError(address, c.err)
	}

	return c, nil
}

// reserve finds or adds the connection to the address and adds the call to its calls in flight. It waits while the pool is full of
// busy connections. If dial is true, the caller must dial the connection.
func (p *pool) reserve(ctx context.Context, address string) (c *pooledConn, dial bool, err error) {
	for {
		c, dial, wait := p.tryReserve(address)
		if c != nil {
			return c, dial, nil
		}
		if wait == nil {
			return nil, false, &CallError{Address: address, Kind: ErrStopped}
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, false, unreachableError(address, ctx.Err())
		}
	}
}

// tryReserve is reserve without waiting: it returns a channel to wait for if the pool is full, and only zero values if the pool
// has stopped.
func (p *pool) tryReserve(address string) (c *pooledConn, dial bool, wait <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.stopped {
		return nil, false, nil
	}
	if existing, found := p.conns[address]; found {
		existing.inflight++

		return existing, false, nil
	}
	if p.openCount >= p.options.MaxConnections && !p.evictLocked() {
		return nil, false, p.released
	}
	added := &pooledConn{address: address, inflight: 1, dialDone: make(chan struct{})}
	p.conns[address] = added
	p.openCount++

	return added, true, nil
}

// evictLocked closes the least recently used idle connection. It returns false if every connection is busy.
func (p *pool) evictLocked() bool {
	var oldest *pooledConn
	for _, c := range p.conns {
		if c.inflight == 0 && (oldest == nil || c.lastUsed.Before(oldest.lastUsed)) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	p.retireLocked(oldest)

	return true
}

func unreachableError(address string, cause error) error {
	return &CallError{Address: address, Kind: ErrUnreachable, Cause: cause}
}

// dial opens the connection and sets its client or its error.
func (p *pool) dial(ctx context.Context, c *pooledConn) {
	defer close(c.dialDone)
	p.counters.dials.Add(1)
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		c.err = err

		return
	}
	counting := &conn{Conn: raw, counters: p.counters, writeTimeout: p.options.Timeout}
	c.responses = newBoundedReader(counting)
	c.client = rpc.NewClient(boundedConn{Conn: counting, responses: c.responses})
}

// release removes the call from the calls in flight. An unhealthy connection accepts no new calls.
func (p *pool) release(c *pooledConn, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	c.inflight--
	c.lastUsed = time.Now()
	if !healthy || c.retired {
		p.retireLocked(c)
	}
	close(p.released)
	p.released = make(chan struct{})
}

// retireLocked removes the connection from the pool, and closes it if no call is in flight; otherwise the release of the last call
// closes it.
func (p *pool) retireLocked(c *pooledConn) {
	c.retired = true
	if p.conns[c.address] == c {
		delete(p.conns, c.address)
	}
	if c.inflight > 0 {
		return
	}
	p.openCount--
	if c.client != nil {
		_ = c.client.Close()
	}
}

// closeIdle closes the connections that have been unused for the idle timeout.
func (p *pool) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, c := range p.conns {
		if c.inflight == 0 && now.Sub(c.lastUsed) >= p.options.IdleTimeout {
			p.retireLocked(c)
		}
	}
}

// stop rejects new calls and closes the pooled connections, so that the calls in flight on them end with an error. Connections that
// are still being dialled are not closed.
func (p *pool) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.stopped = true
	for _, c := range p.conns {
		select {
		case <-c.dialDone:
			if c.client != nil {
				_ = c.client.Close()
			}
		default:
		}
	}
	close(p.released)
	p.released = make(chan struct{})
}

// openConnections returns the number of open connections.
func (p *pool) openConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.openCount
}
