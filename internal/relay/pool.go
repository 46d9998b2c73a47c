package relay

import (
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const (
	dialTimeout = time.Second
	// idleTimeout is shorter than the one of the listeners, so that the client closes first.
	idleTimeout = 30 * time.Second
	// maxIdle bounds the idle connections to one address.
	maxIdle = 64
)

type idleConn struct {
	conn  network.Conn
	since time.Time
}

// pool keeps the idle connections of one address, the latest used goes out first.
type pool struct {
	address string

	mu         sync.Mutex
	idle       []idleConn
	generation uint64
}

// get returns an idle connection if there is one that is young enough, and the pool's generation.
func (p *pool) get(now time.Time) (network.Conn, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	last := len(p.idle) - 1
	if last < 0 {
		return nil, p.generation
	}
	newest := p.idle[last]
	if now.Sub(newest.since) > idleTimeout {
		p.closeIdle()

		return nil, p.generation
	}
	p.idle = p.idle[:last]

	return newest.conn, p.generation
}

// put takes a connection back unless the pool was dropped since it was handed out.
func (p *pool) put(conn network.Conn, generation uint64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if generation != p.generation || len(p.idle) >= maxIdle {
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
	p.closeIdle()
}

func (p *pool) closeIdle() {
	for _, idle := range p.idle {
		_ = idle.conn.Close()
	}
	p.idle = p.idle[:0]
}

// dial opens a new connection within the time given.
func (p *pool) dial(timeout time.Duration) (network.Conn, error) {
	return standard.NewDialer().DialConnection("tcp", p.address, min(timeout, dialTimeout), nil)
}
