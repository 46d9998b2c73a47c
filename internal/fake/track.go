package fake

import (
	"net"
	"sync"
)

// tracked is a listener that remembers its connections, so that they can be closed at once.
type tracked struct {
	net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newTracked(listener net.Listener) *tracked {
	return &tracked{Listener: listener, conns: map[net.Conn]struct{}{}}
}

// Accept returns the next connection.
func (t *tracked) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[conn] = struct{}{}

	return &trackedConn{Conn: conn, owner: t}, nil
}

func (t *tracked) closeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		_ = conn.Close()
	}
}

type trackedConn struct {
	net.Conn

	owner *tracked
}

// Close forgets the connection and closes it.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c.Conn)
	c.owner.mu.Unlock()

	return c.Conn.Close()
}
