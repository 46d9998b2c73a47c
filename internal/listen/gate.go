package listen

import (
	"net"
	"sync"
)

// drainableListener is a net.Listener that can close its port while the server keeps serving the open connections.
type drainableListener struct {
	net.Listener

	stopOnce  sync.Once
	closeOnce sync.Once
	stopped   chan struct{}
	closed    chan struct{}
}

func newDrainableListener(listener net.Listener) *drainableListener {
	return &drainableListener{Listener: listener, stopped: make(chan struct{}), closed: make(chan struct{})}
}

// Accept returns the next connection. After StopAccepting it blocks until Close, since an error would end the server.
func (l *drainableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	select {
	case <-l.stopped:
		<-l.closed
	default:
	}

	return nil, err
}

// StopAccepting closes the port. Accept doesn't return until Close.
func (l *drainableListener) StopAccepting() error {
	var err error
	l.stopOnce.Do(func() {
		close(l.stopped)
		err = l.Listener.Close()
	})

	return err
}

// Close closes the port and lets Accept return its error.
func (l *drainableListener) Close() error {
	err := l.StopAccepting()
	l.closeOnce.Do(func() { close(l.closed) })

	return err
}
