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
	// Dials is the number of connections that were opened to others.
	Dials int64 `json:"dials"`
}

// counters is the live form of Traffic.
type counters struct {
	sent     atomic.Int64
	received atomic.Int64
	dials    atomic.Int64
}

func (c *counters) traffic() Traffic {
	return Traffic{Sent: c.sent.Load(), Received: c.received.Load(), Dials: c.dials.Load()}
}

// conn counts bytes and gives up a read or write that takes longer than its limit, zero for none.
type conn struct {
	net.Conn
	counters   *counters
	readLimit  time.Duration
	writeLimit time.Duration
}

// Read reads and counts.
func (c *conn) Read(buffer []byte) (int, error) {
	if c.readLimit > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readLimit)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(buffer)
	c.counters.received.Add(int64(n))

	return n, err
}

// Write writes and counts.
func (c *conn) Write(buffer []byte) (int, error) {
	if c.writeLimit > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(c.writeLimit)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(buffer)
	c.counters.sent.Add(int64(n))

	return n, err
}
