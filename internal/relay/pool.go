package relay

import (
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// maxIdle bounds the idle connections to one address.
	maxIdle = 256
)

type idleConn struct {
	conn  *conn
	since time.Time
}

// pool keeps the idle connections of one address, the latest used goes out first.
type pool struct {
	address string
	timeout time.Duration

	mu         sync.Mutex
	idle       []idleConn
	generation uint64
	retired    bool
}

// get returns an idle connection if there is one that is young enough, and the pool's generation.
func (p *pool) get(now time.Time) (*conn, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.closeOlder(now)
	for last := len(p.idle) - 1; last >= 0; last-- {
		newest := p.idle[last].conn
		p.idle = p.idle[:last]
		if newest.clean() {
			return newest, p.generation
		}
		_ = newest.Close()
	}

	return nil, p.generation
}

// put takes a connection back unless the pool was dropped since it was handed out.
func (p *pool) put(conn *conn, generation uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.retired || generation != p.generation || len(p.idle) >= maxIdle {
		_ = conn.Close()

		return
	}
	p.idle = append(p.idle, idleConn{conn: conn, since: now})
}

// drop closes all idle connections and keeps those handed out from coming back.
func (p *pool) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.generation++
	p.closeFirst(len(p.idle))
}

// retire closes what is too old, and ends the pool if nothing is left; it reports whether it did.
func (p *pool) retire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.closeOlder(now)
	p.retired = len(p.idle) == 0

	return p.retired
}

// closeOlder closes the connections that a server may be about to close; the oldest stand first.
func (p *pool) closeOlder(now time.Time) {
	count := 0
	for count < len(p.idle) && now.Sub(p.idle[count].since) > p.timeout {
		count++
	}
	p.closeFirst(count)
}

func (p *pool) closeFirst(count int) {
	if count == 0 {
		return
	}
	for _, idle := range p.idle[:count] {
		_ = idle.conn.Close()
	}
	p.idle = append(p.idle[:0], p.idle[count:]...)
}
