package listen

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// takeTimeout bounds the wait for the goroutine in Accept to take the queued connections and close the port.
const takeTimeout = 200 * time.Millisecond

// maxQueued is the number of queued connections that are taken; the kernel queues fewer by default.
const maxQueued = 8192

// drainableListener is a net.Listener that can close its port while the server keeps serving the open connections. Connections that the
// kernel has accepted by then are still served: closing the port would reset them. One that comes in the instant between the last accept
// and the close is still reset, unread.
type drainableListener struct {
	net.Listener

	stopOnce  sync.Once
	closeOnce sync.Once
	stopped   chan struct{}
	closed    chan struct{}
	// taken is closed once the queued connections have been taken.
	taken     chan struct{}
	takenOnce sync.Once
	// queued holds connections that Accept has yet to return; only the goroutine in Accept uses it.
	queued []net.Conn
}

func newDrainableListener(listener net.Listener) *drainableListener {
	return &drainableListener{Listener: listener, stopped: make(chan struct{}), closed: make(chan struct{}), taken: make(chan struct{})}
}

// Accept returns the next connection. After StopAccepting it returns those that were queued, then blocks until Close, since an error
// would end the server.
func (l *drainableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		return conn, nil
	}
	select {
	case <-l.stopped:
	default:
		return nil, err
	}
	l.takenOnce.Do(l.takeQueued)
	if len(l.queued) > 0 {
		conn = l.queued[0]
		l.queued = l.queued[1:]

		return conn, nil
	}
	<-l.closed

	return nil, net.ErrClosed
}

// takeQueued takes the connections that the kernel has accepted.
func (l *drainableListener) takeQueued() {
	defer close(l.taken)
	for _, fd := range l.acceptAndClose() {
		file := os.NewFile(uintptr(fd), "connection")
		if conn, err := net.FileConn(file); err == nil {
			l.queued = append(l.queued, conn)
		}
		_ = file.Close()
	}
}

// acceptAndClose accepts the queued connections and closes the port at once, as a connection that comes in between is reset.
func (l *drainableListener) acceptAndClose() (accepted []int) {
	defer func() { _ = l.Listener.Close() }()
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	accepted = make([]int, 0, maxQueued)
	_ = raw.Control(func(fd uintptr) {
		for len(accepted) < maxQueued {
			next, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err != nil {
				return
			}
			accepted = append(accepted, next)
		}
	})

	return accepted
}

// StopAccepting closes the port. Accept returns the connections that were queued, and no error until Close.
func (l *drainableListener) StopAccepting() error {
	var err error
	l.stopOnce.Do(func() {
		close(l.stopped)
		if waker, ok := l.Listener.(interface{ SetDeadline(at time.Time) error }); ok && waker.SetDeadline(time.Now()) == nil {
			select {
			case <-l.taken:
				return
			case <-time.After(takeTimeout):
			}
		}
		if err = l.Listener.Close(); errors.Is(err, net.ErrClosed) {
			err = nil
		}
	})

	return err
}

// Close closes the port and lets Accept return its error.
func (l *drainableListener) Close() error {
	err := l.StopAccepting()
	l.closeOnce.Do(func() { close(l.closed) })

	return err
}
