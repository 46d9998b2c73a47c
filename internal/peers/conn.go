package peers

import (
	"net"
	"sync/atomic"
	"time"
)

// Traffic counts the bytes of all control connections since the start.
type Traffic struct {
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	// Dials counts the attempts to open a connection to a peer.
	Dials int64 `json:"dials"`
}

// counters holds the counters behind Traffic. It is safe for concurrent use.
type counters struct {
	sent     atomic.Int64
	received atomic.Int64
	dials    atomic.Int64
}

// snapshot returns the current values.
func (c *counters) snapshot() Traffic {
	return Traffic{Sent: c.sent.Load(), Received: c.received.Load(), Dials: c.dials.Load()}
}

// conn counts the bytes of a connection and limits the duration of each read and write; zero means no timeout.
type conn struct {
	net.Conn
	counters     *counters
	readTimeout  time.Duration
	writeTimeout time.Duration
}

// Read reads with the read timeout and counts the bytes.
func (c *conn) Read(buffer []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(buffer)
	c.counters.received.Add(int64(n))

	return n, err
}

// Write writes with the write timeout and counts the bytes.
func (c *conn) Write(buffer []byte) (int, error) {
	if c.writeTimeout > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(buffer)
	c.counters.sent.Add(int64(n))

	return n, err
}
