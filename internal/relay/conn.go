package relay

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

const (
	// readBuffer is the first size in bytes of a connection's read buffer; a header and a small answer fit in.
	readBuffer = 4 << 10
	// keepBuffer is the largest read buffer in bytes that an idle connection keeps.
	keepBuffer = 16 << 10
	// A connection without a sign of life from the other end is given up after keepAliveIdle and keepAliveCount intervals.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// sendTimeout bounds how long written bytes may stay unacknowledged.
	sendTimeout = 2 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 18
)

// conn is a client connection with a buffered reader; hertz's own client connection hides its socket options.
type conn struct {
	net.Conn
	network.Writer

	// socket looks at the state of the connection, nil if that is not known.
	socket syscall.RawConn
	buffer []byte
	from   int
	to     int
}

// dialConn opens a connection that notices an end which has gone silent.
func dialConn(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: limitSend,
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

// limitSend bounds unacknowledged writes; a system without the option still has its keep-alive probes.
func limitSend(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(sendTimeout/time.Millisecond))
	})
}

// clean reports whether an idle connection is still open and nothing has come on it since its last answer.
func (c *conn) clean() bool {
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

// Len returns the number of bytes that are read but not used.
func (c *conn) Len() int {
	return c.to - c.from
}

// Peek returns the next n bytes, or those there are with the error that ended them.
func (c *conn) Peek(n int) ([]byte, error) {
	for c.Len() < n {
		c.makeRoom(n)
		count, err := c.Conn.Read(c.buffer[c.to:])
		c.to += count
		if err != nil && c.Len() < n {
			return c.buffer[c.from:c.to], err
		}
	}

	return c.buffer[c.from : c.from+n], nil
}

// makeRoom moves or grows the buffer until n bytes fit and there is space to read into.
func (c *conn) makeRoom(n int) {
	if c.from == c.to {
		c.from, c.to = 0, 0
	}
	if c.from+n <= len(c.buffer) && c.to < len(c.buffer) {
		return
	}
	buffer := c.buffer
	if n > len(buffer) || c.from == 0 {
		buffer = make([]byte, max(n, 2*len(c.buffer), readBuffer))
	}
	c.to = copy(buffer, c.buffer[c.from:c.to])
	c.from = 0
	c.buffer = buffer
}

// Skip drops the next n bytes.
func (c *conn) Skip(n int) error {
	if _, err := c.Peek(n); err != nil {
		return err
	}
	c.from += n

	return nil
}

// ReadByte returns the next byte.
func (c *conn) ReadByte() (byte, error) {
	next, err := c.Peek(1)
	if err != nil {
		return 0, err
	}
	c.from++

	return next[0], nil
}

// ReadBinary returns a copy of the next n bytes.
func (c *conn) ReadBinary(n int) ([]byte, error) {
	next, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	c.from += n

	return append([]byte(nil), next...), nil
}

// Read takes buffered bytes first.
func (c *conn) Read(p []byte) (int, error) {
	if c.Len() == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.buffer[c.from:c.to])
	c.from += n

	return n, nil
}

// Release drops a buffer that a large answer has made.
func (c *conn) Release() error {
	if c.Len() == 0 && len(c.buffer) > keepBuffer {
		c.buffer, c.from, c.to = nil, 0, 0
	}

	return nil
}

// SetReadTimeout bounds the reads from now on.
func (c *conn) SetReadTimeout(timeout time.Duration) error {
	return c.SetReadDeadline(time.Now().Add(timeout))
}

// SetWriteTimeout bounds the writes from now on.
func (c *conn) SetWriteTimeout(timeout time.Duration) error {
	return c.SetWriteDeadline(time.Now().Add(timeout))
}

// Write sends at once, past the buffer of Malloc and WriteBinary.
func (c *conn) Write(p []byte) (int, error) {
	return c.Conn.Write(p)
}

// readToEnd reads a body that ends with its connection; only a clean end makes it whole.
func (c *conn) readToEnd(most int) ([]byte, error) {
	body := make([]byte, 0, readBuffer)
	for {
		if _, err := c.Peek(1); err != nil {
			if err == io.EOF {
				return body, nil
			}

			return nil, err
		}
		body = append(body, c.buffer[c.from:c.to]...)
		c.from = c.to
		if len(body) > most {
			return nil, errTooLong
		}
	}
}
