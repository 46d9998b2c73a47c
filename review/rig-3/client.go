package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// call is one request of a client.
type call struct {
	id, method, host, path string
	body                   string
	// budget is the time that the client waits for the end of the response.
	budget time.Duration
	// bytesPerSecond is how fast the client reads, zero for as fast as it can.
	bytesPerSecond int
}

// result is what a client got for a call.
type result struct {
	sentAt, endedAt time.Time
	status          int
	length, read    int
	whole, closes   bool
	err             error
}

// String describes the result for the record.
func (r result) String() string {
	return fmt.Sprintf("status %d, %d of %d bytes, whole %t, after %.3f s, error %v",
		r.status, r.read, r.length, r.whole, r.endedAt.Sub(r.sentAt).Seconds(), r.err)
}

// served reports whether the response is a whole one of a target that ran the request.
func (r result) served() bool {
	return r.whole && r.status == http.StatusOK
}

// client is a client with one connection, which it keeps between requests as long as the node does.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// kept is true if the connection has carried a request before.
	kept bool
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.kept = nil, false
}

// do sends a request and reads the response. The connection is closed after an error, and if the response asks for it.
func (c *client) do(ctx context.Context, k call) result {
	r := c.exchange(ctx, k)
	r.endedAt = time.Now()
	c.kept = true
	if r.err != nil || r.closes {
		c.close()
	}

	return r
}

func (c *client) exchange(ctx context.Context, k call) result {
	r := result{sentAt: time.Now(), length: -1}
	if c.conn == nil {
		if c.conn, r.err = dial(ctx, c.address); r.err != nil {
			return r
		}
		c.reader = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(k.budget))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", k.method, k.path, k.host,
		headerRequestID, k.id, headerDeadline, k.budget.Milliseconds())
	if k.body != "" {
		head += "Content-Length: " + strconv.Itoa(len(k.body)) + "\r\n"
	}
	if _, r.err = fmt.Fprint(c.conn, head+"\r\n"+k.body); r.err != nil {
		return r
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: k.method})
	if err != nil {
		r.err = err

		return r
	}
	defer func() { _ = response.Body.Close() }()
	r.status, r.length, r.closes = response.StatusCode, int(response.ContentLength), response.Close
	body := &bytes.Buffer{}
	r.err = copyAt(body, response.Body, k.bytesPerSecond)
	r.read = body.Len()
	r.whole = r.err == nil && (r.status != http.StatusOK || bytes.Equal(body.Bytes(), answer(k.id, r.length)))

	return r
}

// copyAt copies everything at a rate in bytes per second, zero for no bound.
func copyAt(to io.Writer, from io.Reader, bytesPerSecond int) error {
	if bytesPerSecond == 0 {
		_, err := io.Copy(to, from)

		return err
	}
	const step = 20 * time.Millisecond
	started, copied := time.Now(), int64(0)
	for {
		due := int64(time.Since(started).Seconds() * float64(bytesPerSecond))
		if due > copied {
			n, err := io.CopyN(to, from, due-copied)
			copied += n
			if err == io.EOF {
				return nil
			}
			if err != nil {
				return err
			}
		}
		time.Sleep(step)
	}
}
