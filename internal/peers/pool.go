package peers

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// pool holds at most one usable connection per peer and a bounded number in all.
type pool struct {
	options  Options
	counters *counters

	mu      sync.Mutex
	links   map[string]*link
	open    int
	stopped bool
	// freed is closed and replaced whenever a waiting caller may find room.
	freed chan struct{}
}

func newPool(options Options, counters *counters) *pool {
	return &pool{
		options:  options,
		counters: counters,
		links:    map[string]*link{},
		freed:    make(chan struct{}),
	}
}

// call runs one call, over a new connection if the pooled one turns out to have ended.
func (p *pool) call(ctx context.Context, address, method string, args, reply any) error {
	err := p.try(ctx, address, method, args, reply)
	if errors.Is(err, errNotSent) {
		err = p.try(ctx, address, method, args, reply)
	}
	if errors.Is(err, errNotSent) {
		return &CallError{Address: address, Kind: ErrConnectionLost, Cause: err}
	}

	return err
}

func (p *pool) try(ctx context.Context, address, method string, args, reply any) error {
	l, err := p.acquire(ctx, address)
	if err != nil {
		return err
	}
	err = l.exchange(ctx, method, args, reply)
	p.release(l, err == nil || errors.Is(err, ErrRemote))

	return err
}

// acquire returns the link to the address, dialling it if there is none.
func (p *pool) acquire(ctx context.Context, address string) (*link, error) {
	l, dial, err := p.reserve(ctx, address)
	if err != nil {
		return nil, err
	}
	if dial {
		p.dial(ctx, l)
	}
	select {
	case <-l.opened:
	case <-ctx.Done():
		p.release(l, true)

		return nil, unreachable(address, ctx.Err())
	}
	if l.err != nil {
		p.release(l, false)

		return nil, unreachable(address, l.err)
	}

	return l, nil
}

// reserve finds or adds the link and counts the call in; it waits while the pool is full of busy links.
func (p *pool) reserve(ctx context.Context, address string) (l *link, dial bool, err error) {
	for {
		l, dial, wait := p.tryReserve(address)
		if l != nil {
			return l, dial, nil
		}
		if wait == nil {
			return nil, false, &CallError{Address: address, Kind: ErrStopped}
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, false, unreachable(address, ctx.Err())
		}
	}
}

func (p *pool) tryReserve(address string) (l *link, dial bool, wait <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.stopped {
		return nil, false, nil
	}
	if known, found := p.links[address]; found {
		known.inflight++

		return known, false, nil
	}
	if p.open >= p.options.MaxConnections && !p.evictLocked() {
		return nil, false, p.freed
	}
	added := &link{address: address, inflight: 1, opened: make(chan struct{})}
	p.links[address] = added
	p.open++

	return added, true, nil
}

// evictLocked closes the idle link that was used longest ago, false if every link is busy.
func (p *pool) evictLocked() bool {
	var oldest *link
	for _, l := range p.links {
		if l.inflight == 0 && (oldest == nil || l.lastUsed.Before(oldest.lastUsed)) {
			oldest = l
		}
	}
	if oldest == nil {
		return false
	}
	p.retireLocked(oldest)

	return true
}

func unreachable(address string, cause error) error {
	return &CallError{Address: address, Kind: ErrUnreachable, Cause: cause}
}

func (p *pool) dial(ctx context.Context, l *link) {
	defer close(l.opened)
	p.counters.dials.Add(1)
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		l.err = err

		return
	}
	counted := &conn{Conn: raw, counters: p.counters, writeLimit: p.options.Timeout}
	l.client = rpc.NewClient(counted)
}

// release counts the call out; an unhealthy link takes no further call.
func (p *pool) release(l *link, healthy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	l.inflight--
	l.lastUsed = time.Now()
	if !healthy || l.retired {
		p.retireLocked(l)
	}
	close(p.freed)
	p.freed = make(chan struct{})
}

// retireLocked takes the link out of use and closes it once nothing runs on it.
func (p *pool) retireLocked(l *link) {
	l.retired = true
	if p.links[l.address] == l {
		delete(p.links, l.address)
	}
	if l.inflight > 0 {
		return
	}
	p.open--
	if l.client != nil {
		_ = l.client.Close()
	}
}

// sweep closes the links that were idle for long.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, l := range p.links {
		if l.inflight == 0 && now.Sub(l.lastUsed) >= p.options.IdleTimeout {
			p.retireLocked(l)
		}
	}
}

// stop closes every link, so that calls under way end with an error.
func (p *pool) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.stopped = true
	for _, l := range p.links {
		select {
		case <-l.opened:
			if l.client != nil {
				_ = l.client.Close()
			}
		default:
		}
	}
	close(p.freed)
	p.freed = make(chan struct{})
}

// size returns the number of open connections.
func (p *pool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.open
}
