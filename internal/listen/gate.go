package listen

import (
	"net"
	"sync"
)

// gate is a listener that can refuse new connections while its server goes on with the open ones.
type gate struct {
	net.Listener

	refuse  sync.Once
	end     sync.Once
	refused chan struct{}
	closed  chan struct{}
}

func newGate(listener net.Listener) *gate {
	return &gate{Listener: listener, refused: make(chan struct{}), closed: make(chan struct{})}
}

// Accept returns the next connection; once the gate refuses, it waits for the end.
func (g *gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	select {
	case <-g.refused:
		<-g.closed
	default:
	}

	return nil, err
}

// Refuse closes the port.
func (g *gate) Refuse() error {
	var err error
	g.refuse.Do(func() {
		close(g.refused)
		err = g.Listener.Close()
	})

	return err
}

// Close ends the listener.
func (g *gate) Close() error {
	err := g.Refuse()
	g.end.Do(func() { close(g.closed) })

	return err
}
