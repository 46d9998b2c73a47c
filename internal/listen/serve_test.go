package listen_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/listen"
)

const (
	patience = 5 * time.Second
	// pieceInterval is long enough for the server to read one piece of a request before the next is sent.
	pieceInterval = 50 * time.Millisecond
)

// backend is a handler whose requests block until the test releases them by path.
type backend struct {
	mu        sync.Mutex
	gates     map[string]chan struct{}
	started   []string
	cancelled []string
	closes    map[string]bool
}

func newBackend() *backend {
	return &backend{gates: map[string]chan struct{}{}, closes: map[string]bool{}}
}

func (b *backend) gate(path string) chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.gates[path] == nil {
		b.gates[path] = make(chan struct{})
	}

	return b.gates[path]
}

func (b *backend) release(paths ...string) {
	for _, path := range paths {
		close(b.gate(path))
	}
}

func (b *backend) startedPaths() []string {
	b.mu.Lock()
	defer b.mu.Unlock()

	return append([]string(nil), b.started...)
}

// awaitStarted waits until so many requests have reached the handler.
func (b *backend) awaitStarted(t *testing.T, count int) {
	t.Helper()
	require.Eventually(t, func() bool { return len(b.startedPaths()) == count }, patience, time.Millisecond)
}

func (b *backend) cancelledPaths() []string {
	b.mu.Lock()
	defer b.mu.Unlock()

	return append([]string(nil), b.cancelled...)
}

func (b *backend) handle(c context.Context, ctx *app.RequestContext) {
	path := string(ctx.Path())
	b.mu.Lock()
	b.started = append(b.started, path)
	closes := b.closes[path]
	b.mu.Unlock()
	if path == "/panic" {
		panic("handler fault")
	}
	select {
	case <-b.gate(path):
	case <-c.Done():
		b.mu.Lock()
		b.cancelled = append(b.cancelled, path)
		b.mu.Unlock()
	}
	if closes {
		ctx.Response.SetConnectionClose()
	}
	_, _ = ctx.WriteString("answer " + path + " " + string(ctx.Request.Body()))
}

func repeatable(header *protocol.RequestHeader) bool {
	return header.IsGet()
}

func startServer(t *testing.T, b *backend, options listen.Options) *listen.Server {
	t.Helper()
	options.Repeatable = repeatable
	options.MaxBody = 1 << 20
	server, err := listen.New("127.0.0.1:0", b.handle, options)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, server.Close(context.Background())) })

	return server
}

type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, server *listen.Server) *client {
	t.Helper()
	conn, err := (&net.Dialer{Timeout: patience}).DialContext(t.Context(), "tcp", server.Address())
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(patience)))
	t.Cleanup(func() { _ = conn.Close() })

	return &client{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// startAndDial starts a server without limits, and connects a client to it.
func startAndDial(t *testing.T) (*backend, *client) {
	t.Helper()
	b := newBackend()

	return b, dial(t, startServer(t, b, listen.Options{}))
}

func (c *client) send(requests ...string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, strings.Join(requests, ""))
	require.NoError(c.t, err)
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"
}

func post(path, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// expect reads a response and checks its body. It reports whether the response closes the connection.
func (c *client) expect(body string) (closes bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	defer func() { require.NoError(c.t, response.Body.Close()) }()
	found, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	require.Equal(c.t, body, string(found))

	return response.Close
}

func (c *client) expectEnd() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

func TestRequestsBehindFoldedHeaderAreWhole(t *testing.T) {
	b := newBackend()
	server := startServer(t, b, listen.Options{})
	b.release("/a", "/b")
	c := dial(t, server)
	c.send("POST /a HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\nContent-Length: 11\r\n\r\nhello")
	time.Sleep(pieceInterval)
	c.send(" world", get("/b"))
	c.expect("answer /a hello world")
	c.expect("answer /b ")
}

func TestPipelinedRequestsRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	b, c := startAndDial(t)
	c.send(get("/1"), get("/2"), get("/3"))
	b.awaitStarted(t, 3)
	b.release("/3", "/2")
	time.Sleep(20 * time.Millisecond)
	b.release("/1")
	for _, path := range []string{"/1", "/2", "/3"} {
		require.False(t, c.expect("answer "+path+" "))
	}
	b.release("/4")
	c.send(get("/4"))
	c.expect("answer /4 ")
}

func TestRequestThatMustNotRepeatRunsAlone(t *testing.T) {
	b, c := startAndDial(t)
	c.send(get("/1"), post("/2", "two"), get("/3"))
	require.Never(t, func() bool { return len(b.startedPaths()) > 1 }, 50*time.Millisecond, time.Millisecond)
	b.release("/1")
	c.expect("answer /1 ")
	b.awaitStarted(t, 2)
	require.Never(t, func() bool { return len(b.startedPaths()) > 2 }, 50*time.Millisecond, time.Millisecond)
	b.release("/2", "/3")
	c.expect("answer /2 two")
	c.expect("answer /3 ")
}

func TestHangUpCancelsAllRequestsAndStartsNone(t *testing.T) {
	b, c := startAndDial(t)
	// the exclusive request keeps the bytes of the last two unread
	c.send(get("/1"), get("/2"), post("/3", "three"), get("/4"), get("/5"))
	b.awaitStarted(t, 2)
	require.NoError(t, c.conn.Close())
	require.Eventually(t, func() bool { return len(b.cancelledPaths()) == 2 }, patience, time.Millisecond)
	require.Never(t, func() bool { return len(b.startedPaths()) > 2 }, 50*time.Millisecond, time.Millisecond)
}

func TestHangUpIsNoticedBehindManyUnreadBytes(t *testing.T) {
	b, c := startAndDial(t)
	c.send(post("/1", "one"), strings.Repeat(get("/2"), 4000))
	b.awaitStarted(t, 1)
	require.NoError(t, c.conn.Close())
	require.Eventually(t, func() bool { return len(b.cancelledPaths()) == 1 }, patience, time.Millisecond)
}

func TestClosingResponseIsTheLast(t *testing.T) {
	b := newBackend()
	b.closes["/1"] = true
	c := dial(t, startServer(t, b, listen.Options{}))
	c.send(get("/1"), get("/2"), post("/3", "three"), get("/4"))
	b.awaitStarted(t, 2)
	b.release("/1")
	require.False(t, c.expect("answer /1 "), "the second request is running and gets its response")
	b.release("/2")
	require.True(t, c.expect("answer /2 "))
	c.expectEnd()
	require.Len(t, b.startedPaths(), 2, "what stands behind a closing response is not started")
}

func TestPlannedStopAnswersAllThatWasRead(t *testing.T) {
	b := newBackend()
	server := startServer(t, b, listen.Options{})
	c := dial(t, server)
	c.send(get("/1"), get("/2"))
	b.awaitStarted(t, 2)
	server.DisableKeepAlives()
	b.release("/2", "/1")
	require.False(t, c.expect("answer /1 "))
	require.True(t, c.expect("answer /2 "))
	c.expectEnd()
}

func TestCloseWaitsForResponseToSlowReader(t *testing.T) {
	const size = 16 << 20
	server, err := listen.New("127.0.0.1:0", func(_ context.Context, ctx *app.RequestContext) {
		_, _ = ctx.Write(make([]byte, size))
	}, listen.Options{MaxBody: 1 << 20})
	require.NoError(t, err)
	c := dial(t, server)
	c.send(get("/large"))
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	closed := make(chan error, 1)
	go func() { closed <- server.Close(context.Background()) }()
	time.Sleep(150 * time.Millisecond)
	read, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.EqualValues(t, size, read)
	require.NoError(t, <-closed)
}

// A client may state a length, or the size of a chunk, and send nothing of it.
func TestBodyIsReadAfterInterimResponse(t *testing.T) {
	b, c := startAndDial(t)
	b.release("/1", "/2")
	c.send(get("/1"), "POST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	c.expect("answer /1 ")
	line, err := c.reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = c.reader.ReadString('\n')
	require.NoError(t, err)
	c.send("two")
	c.expect("answer /2 two")
}

func TestIdleConnectionIsClosedAfterItsTimeout(t *testing.T) {
	for name, text := range map[string]string{"repeatable": get("/1"), "exclusive": post("/1", "")} {
		t.Run(name, func(t *testing.T) {
			b := newBackend()
			c := dial(t, startServer(t, b, listen.Options{Idle: 100 * time.Millisecond}))
			c.send(text)
			time.Sleep(200 * time.Millisecond)
			b.release("/1")
			c.expect("answer /1 ")
			answeredAt := time.Now()
			c.expectEnd()
			require.InDelta(t, 100, time.Since(answeredAt).Milliseconds(), 80)
		})
	}
}

// The input buffer of the connection is used again while an earlier request, whose body came through it, is still running.
// What stands around the chunks of a body may come without end as well.
func TestManyPipelinedRequestsAreAllAnsweredInOrder(t *testing.T) {
	const requests = 2000
	server, err := listen.New("127.0.0.1:0", func(_ context.Context, ctx *app.RequestContext) {
		_, _ = ctx.WriteString(string(ctx.Path()) + strings.Repeat("x", len(ctx.Path())*300))
	}, listen.Options{MaxBody: 1 << 20, Repeatable: repeatable})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, server.Close(context.Background())) })
	c := dial(t, server)
	sent := make(chan error, 1)
	go func() {
		for i := range requests {
			text := get(fmt.Sprintf("/%d", i))
			if i%7 == 0 {
				text = post(fmt.Sprintf("/%d", i), strings.Repeat("b", i))
			}
			if _, err := io.WriteString(c.conn, text); err != nil {
				sent <- err

				return
			}
		}
		sent <- nil
	}()
	for i := range requests {
		path := fmt.Sprintf("/%d", i)
		c.expect(path + strings.Repeat("x", len(path)*300))
	}
	require.NoError(t, <-sent)
}

// Clients go on connecting while the port is closed. A connection that the kernel has accepted is served, not reset.
func TestConnectionsAcceptedBeforeThePortClosesAreServed(t *testing.T) {
	const clients, rounds = 8, 20
	for range rounds {
		b := newBackend()
		b.release("/1")
		server := startServer(t, b, listen.Options{})
		var running sync.WaitGroup
		failures := make(chan error, clients)
		for range clients {
			running.Go(func() {
				for {
					conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Address())
					if err != nil {
						return
					}
					if _, err = io.WriteString(conn, get("/1")); err == nil {
						var response *http.Response
						if response, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
							err = response.Body.Close()
						}
					}
					_ = conn.Close()
					if err != nil {
						failures <- err

						return
					}
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		require.NoError(t, server.StopAccepting())
		running.Wait()
		select {
		case err := <-failures:
			require.NoError(t, err)
		default:
		}
	}
}
