package relay

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

const (
	// initialReadBuffer is the initial size in bytes of a read buffer, enough for a header and a small body.
	initialReadBuffer = 4 << 10
	// maxIdleReadBuffer is the size in bytes above which an idle connection frees its read buffer.
	maxIdleReadBuffer = 16 << 10
	// TCP keep-alive closes a connection whose peer has not responded for keepAliveIdle and then to keepAliveCount probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// sendTimeout bounds how long sent data may stay unacknowledged.
	sendTimeout = 2 * time.Second
	// maxPeekBytes is the number of buffered bytes at which a response header, a chunk size or a trailer is too long.
	maxPeekBytes = 64 << 10
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
)

// conn is a client connection with a buffered reader. It replaces hertz's client connection, which gives no access to socket
// options.
type conn struct {
	net.Conn
	network.Writer

	// socket gives access to the state of the socket, nil if the connection has none.
	socket syscall.RawConn
	buffer []byte
	start  int
	end    int
	// consumed is the number of bytes that the parser has taken from the buffer.
	consumed int
}

// dialConn opens a connection with TCP keep-alive and a send timeout, which detect an unresponsive peer.
func dialConn(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setSendTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}

	c := &conn{Conn: raw, Writer: network.NewWriter(raw)}
	if socket, ok := raw.(syscall.Conn); ok {
		if c.socket, err = socket.SyscallConn(); err != nil {
			_ = raw.Close()

			return nil, err
		}
	}

	return c, nil
}

// setSendTimeout sets TCP_USER_TIMEOUT. Errors are ignored: without the option, keep-alive probes still detect an unresponsive
// peer.
func setSendTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(sendTimeout/time.Millisecond))
	})
}

// reusable reports whether an idle connection is still open and has received nothing since its last response.
func (c *conn) reusable() bool {
	if c.socket == nil || c.Len() > 0 {
		return false
	}
	idle := false
	err := c.socket.Control(func(fd uintptr) {
		var next [1]byte
		_, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
	})

	return err == nil && idle
}

// Len returns the number of buffered bytes.
func (c *conn) Len() int {
	return c.end - c.start
}

// unread returns the buffered bytes.
func (c *conn) unread() []byte {
	return c.buffer[c.start:c.end]
}

// Peek returns the next n bytes without consuming them, or fewer with the error that ended the read.
func (c *conn) Peek(n int) ([]byte, error) {
	for c.Len() < n {
		if c.Len() >= maxPeekBytes {
			return c.buffer[c.start:c.end], errHeadTooLong
		}
		c.makeRoom(n)
		count, err := c.Conn.Read(c.buffer[c.end:])
		c.end += count
		if err != nil && c.Len() < n {
			return c.buffer[c.start:c.end], err
		}
	}

	return c.buffer[c.start : c.start+n], nil
}

// makeRoom moves or grows the buffer so that n bytes fit and there is space to read into.
func (c *conn) makeRoom(n int) {
	if c.start == c.end {
		c.start, c.end = 0, 0
	}
	if c.start+n <= len(c.buffer) && c.end < len(c.buffer) {
		return
	}
	buffer := c.buffer
	if n > len(buffer) || c.start == 0 {
		buffer = make([]byte, max(n, 2*len(c.buffer), initialReadBuffer))
	}
	c.end = copy(buffer, c.buffer[c.start:c.end])
	c.start = 0
	c.buffer = buffer
}

// Skip discards the next n bytes.
func (c *conn) Skip(n int) error {
	if _, err := c.Peek(n); err != nil {
		return err
	}
	c.start += n
	c.consumed += n

	return nil
}

// ReadByte returns the next byte.
func (c *conn) ReadByte() (byte, error) {
	next, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	c.start++

	return next[0], nil
}

// ReadBinary returns a copy of the next n bytes.
func (c *conn) ReadBinary(n int) ([]byte, error) {
	next, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	c.start += n
	c.consumed += n

	return append([]byte(nil), next...), nil
}

// Read returns buffered bytes first.
func (c *conn) Read(p []byte) (int, error) {
	if c.Len() == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.buffer[c.start:c.end])
	c.start += n

	return n, nil
}

// Release frees a buffer that a large response has grown.
func (c *conn) Release() error {
	if c.Len() == 0 && len(c.buffer) > maxIdleReadBuffer {
		c.buffer, c.start, c.end = nil, 0, 0
	}

	return nil
}

// SetReadTimeout sets the read deadline relative to the current time.
func (c *conn) SetReadTimeout(timeout time.Duration) error {
	return c.SetReadDeadline(time.Now().Add(timeout))
}

// SetWriteTimeout sets the write deadline relative to the current time.
func (c *conn) SetWriteTimeout(timeout time.Duration) error {
	return c.SetWriteDeadline(time.Now().Add(timeout))
}

// Write sends the bytes at once and bypasses the buffer of Malloc and WriteBinary.
func (c *conn) Write(p []byte) (int, error) {
	return c.Conn.Write(p)
}
