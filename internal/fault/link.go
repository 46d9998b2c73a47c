package fault

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const chunkBytes = 16 << 10

// link is one connection through the proxy.
type link struct {
	proxy  *Proxy
	client net.Conn
	silent atomic.Bool
	closed chan struct{}

	mu     sync.Mutex
	target net.Conn
	ended  bool
}

func newLink(p *Proxy, client net.Conn) *link {
	return &link{proxy: p, client: client, closed: make(chan struct{})}
}

// run passes bytes until either side ends, or both of a silent link, then reports itself on ended.
func (l *link) run(ctx context.Context, address string, ended chan<- *link) {
	defer func() { ended <- l }()
	defer l.close()

	fault := l.proxy.state()
	if fault.ResetNew {
		l.reset()

		return
	}
	l.sleep(fault.ConnectDelay)
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil || !l.attach(target) {
		l.reset()

		return
	}
	pumps := make(chan struct{}, 2)
	go l.pump(ctx, target, l.client, false, pumps)
	go l.pump(ctx, l.client, target, true, pumps)
	<-pumps
	if !l.hides() {
		l.close()
	}
	<-pumps
}

// hides reports whether the end of one side is kept from the other, as by a box that has lost track of the connection.
func (l *link) hides() bool {
	return l.silent.Load() || l.proxy.state().Silent
}

func (l *link) attach(target net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		_ = target.Close()

		return false
	}
	l.target = target

	return true
}

// pump copies one direction and reports its end on done.
func (l *link) pump(ctx context.Context, to, from net.Conn, answers bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()

	buffer := make([]byte, chunkBytes)
	var passed int64
	for ctx.Err() == nil {
		n, err := from.Read(buffer)
		if n > 0 && !l.pass(to, buffer[:n], answers, &passed) {
			return
		}
		if err != nil {
			return
		}
	}
}

// pass writes one chunk as the present faults have it, false when the connection is to end.
func (l *link) pass(to net.Conn, chunk []byte, answers bool, passed *int64) bool {
	fault := l.proxy.state()
	l.sleep(fault.Delay)
	if l.silent.Load() || fault.Silent || (answers && fault.LoseAnswers) {
		return true
	}
	if fault.BytesPerSecond > 0 {
		l.sleep(time.Duration(len(chunk)) * time.Second / time.Duration(fault.BytesPerSecond))
	}
	cut := false
	if answers && fault.CutAfter > 0 && *passed+int64(len(chunk)) >= fault.CutAfter {
		chunk = chunk[:max(0, fault.CutAfter-*passed)]
		cut = true
	}
	if _, err := to.Write(chunk); err != nil {
		return false
	}
	*passed += int64(len(chunk))

	return !cut
}

func (l *link) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.closed:
	}
}

// reset closes the client's side with an RST instead of an orderly end.
func (l *link) reset() {
	if conn, ok := l.client.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
	l.close()
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	close(l.closed)
	_ = l.client.Close()
	if l.target != nil {
		_ = l.target.Close()
	}
}
