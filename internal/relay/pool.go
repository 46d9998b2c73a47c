package relay

import (
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// maxIdleConns is the maximum number of idle connections to one address.
	maxIdleConns = 256
)

type idleConn struct {
	conn  *conn
	since time.Time
}

// pool holds the idle connections to one address. It reuses the most recently used connection first.
type pool struct {
	address     string
	idleTimeout time.Duration

	mu   sync.Mutex
	idle []idleConn
	// generation is the number of calls of closeIdle.
	generation uint64
	removed    bool
}

// get returns an idle connection, nil if there is none that can be reused, and the generation to pass to put.
func (p *pool) get(now time.Time) (*conn, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.closeExpiredLocked(now)
	for last := len(p.idle) - 1; last >= 0; last-- {
		newest := p.idle[last].conn
		p.idle = p.idle[:last]
		if newest.reusable() {
			return newest, p.generation
		}
		_ = newest.Close()
	}

	return nil, p.generation
}

// put returns a connection to the pool, or closes it if the pool is full, was removed, or was closed since the connection was
// handed out.
func (p *pool) put(conn *conn, generation uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.removed || generation != p.generation || len(p.idle) >= maxIdleConns {
		_ = conn.Close()

		return
	}
	p.idle = append(p.idle, idleConn{conn: conn, since: now})
}

// closeIdle closes all idle connections. Those in use are closed when they are returned, because the generation has changed.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.generation++
	p.closeOldest(len(p.idle))
}

// closeExpired closes connections past the idle timeout and marks an empty pool as removed. It reports whether the pool is
// removed.
func (p *pool) closeExpired(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.closeExpiredLocked(now)
	p.removed = len(p.idle) == 0

	return p.removed
}

// closeExpiredLocked closes the connections past the idle timeout, which come first in the list; the caller holds the lock.
func (p *pool) closeExpiredLocked(now time.Time) {
	count := 0
	for count < len(p.idle) && now.Sub(p.idle[count].since) > p.idleTimeout {
		count++
	}
	p.closeOldest(count)
}

func (p *pool) closeOldest(count int) {
	if count == 0 {
		return
	}
	for _, idle := range p.idle[:count] {
		_ = idle.conn.Close()
	}
	p.idle = append(p.idle[:0], p.idle[count:]...)
}
