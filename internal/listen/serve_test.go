package listen_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
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

const patience = 5 * time.Second

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

func TestPipelinedRequestsRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	b := newBackend()
	c := dial(t, startServer(t, b, listen.Options{}))
	c.send(get("/1"), get("/2"), get("/3"))
	require.Eventually(t, func() bool { return len(b.startedPaths()) == 3 }, patience, time.Millisecond)
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
	b := newBackend()
	c := dial(t, startServer(t, b, listen.Options{}))
	c.send(get("/1"), post("/2", "two"), get("/3"))
	require.Never(t, func() bool { return len(b.startedPaths()) > 1 }, 50*time.Millisecond, time.Millisecond)
	b.release("/1")
	c.expect("answer /1 ")
	require.Eventually(t, func() bool { return len(b.startedPaths()) == 2 }, patience, time.Millisecond)
	require.Never(t, func() bool { return len(b.startedPaths()) > 2 }, 50*time.Millisecond, time.Millisecond)
	b.release("/2", "/3")
	c.expect("answer /2 two")
	c.expect("answer /3 ")
}

func TestHangUpCancelsAllRequestsAndStartsNone(t *testing.T) {
	b := newBackend()
	c := dial(t, startServer(t, b, listen.Options{}))
	// the exclusive request keeps the bytes of the last two unread
	c.send(get("/1"), get("/2"), post("/3", "three"), get("/4"), get("/5"))
	require.Eventually(t, func() bool { return len(b.startedPaths()) == 2 }, patience, time.Millisecond)
	require.NoError(t, c.conn.Close())
	require.Eventually(t, func() bool { return len(b.cancelledPaths()) == 2 }, patience, time.Millisecond)
	require.Never(t, func() bool { return len(b.startedPaths()) > 2 }, 50*time.Millisecond, time.Millisecond)
}

func TestHangUpIsNoticedBehindManyUnreadBytes(t *testing.T) {
	b := newBackend()
	c := dial(t, startServer(t, b, listen.Options{}))
	c.send(post("/1", "one"), strings.Repeat(get("/2"), 4000))
	require.Eventually(t, func() bool { return len(b.startedPaths()) == 1 }, patience, time.Millisecond)
	require.NoError(t, c.conn.Close())
	require.Eventually(t, func() bool { return len(b.cancelledPaths()) == 1 }, patience, time.Millisecond)
}

func TestClosingResponseIsTheLast(t *testing.T) {
	b := newBackend()
	b.closes["/1"] = true
	c := dial(t, startServer(t, b, listen.Options{}))
	c.send(get("/1"), get("/2"), post("/3", "three"), get("/4"))
	require.Eventually(t, func() bool { return len(b.startedPaths()) == 2 }, patience, time.Millisecond)
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
	require.Eventually(t, func() bool { return len(b.startedPaths()) == 2 }, patience, time.Millisecond)
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

func TestMalformedRequestIsAnsweredInOrderAndEndsTheConnection(t *testing.T) {
	tests := map[string]struct {
		text   string
		status int
	}{
		"no request":   {text: "\x00\x01\x02 garbage\r\n\r\n", status: http.StatusBadRequest},
		"endless head": {text: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 1<<20), status: http.StatusRequestHeaderFieldsTooLarge},
		"large body":   {text: "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n", status: http.StatusRequestEntityTooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBackend()
			c := dial(t, startServer(t, b, listen.Options{}))
			b.release("/1")
			// the server may close its side before all is sent
			_, _ = io.WriteString(c.conn, get("/1")+test.text)
			c.expect("answer /1 ")
			response, err := http.ReadResponse(c.reader, nil)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			require.Equal(t, test.status, response.StatusCode)
			require.True(t, response.Close)
		})
	}
}

// A client may state a length, or the size of a chunk, and send nothing of it.
func TestStatedBodyTakesNoMemoryBeforeItArrives(t *testing.T) {
	for name, text := range map[string]string{
		"length": "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\nshort",
		"chunk":  "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3000000\r\nshort",
	} {
		t.Run(name, func(t *testing.T) {
			server, err := listen.New("127.0.0.1:0", newBackend().handle, listen.Options{MaxBody: 128 << 20})
			require.NoError(t, err)
			t.Cleanup(func() { require.NoError(t, server.Close(context.Background())) })
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range 10 {
				dial(t, server).send(text)
			}
			time.Sleep(100 * time.Millisecond)
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(8<<20))
		})
	}
}

func TestLargeBodiesArriveWholeWithinTheirBudget(t *testing.T) {
	const size = 24 << 20
	var held sync.WaitGroup
	held.Add(1)
	server, err := listen.New("127.0.0.1:0", func(_ context.Context, ctx *app.RequestContext) {
		held.Wait()
		_, _ = ctx.WriteString(strconv.Itoa(len(ctx.Request.Body())))
	}, listen.Options{MaxBody: 32 << 20})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, server.Close(context.Background())) })
	block := strings.Repeat("b", size)
	requests := []string{
		post("/1", block),
		"POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1000000\r\n" + block[:16<<20] + "\r\n800000\r\n" + block[:8<<20] + "\r\n0\r\n\r\n",
	}
	var clients []*client
	for _, request := range requests {
		c := dial(t, server)
		c.send(request)
		clients = append(clients, c)
	}
	refused := dial(t, server)
	_, _ = io.WriteString(refused.conn, post("/3", block))
	response, err := http.ReadResponse(refused.reader, nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	held.Done()
	for _, c := range clients {
		c.expect(strconv.Itoa(size))
	}
	again := dial(t, server)
	again.send(post("/4", block))
	again.expect(strconv.Itoa(size))
}

func TestPanicEndsOneRequestOnly(t *testing.T) {
	b := newBackend()
	server := startServer(t, b, listen.Options{})
	c := dial(t, server)
	c.send(get("/panic"))
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(t, http.StatusInternalServerError, response.StatusCode)
	other := dial(t, server)
	b.release("/1")
	other.send(get("/1"))
	other.expect("answer /1 ")
}

func TestBodyIsReadAfterInterimResponse(t *testing.T) {
	b := newBackend()
	c := dial(t, startServer(t, b, listen.Options{}))
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
func TestBodyOfARunningRequestIsNotOverwrittenByLaterOnes(t *testing.T) {
	b := newBackend()
	c := dial(t, startServer(t, b, listen.Options{}))
	const first = "the body of the first request"
	c.send("GET /1 HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(len(first)) + "\r\n\r\n" + first)
	require.Eventually(t, func() bool { return len(b.startedPaths()) == 1 }, patience, time.Millisecond)
	c.send("GET /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range 20 {
		c.send("40;x=y\r\n" + strings.Repeat("z", 64) + "\r\n")
		time.Sleep(time.Millisecond)
	}
	c.send("0\r\nX: trailer\r\n\r\n")
	require.Eventually(t, func() bool { return len(b.startedPaths()) == 2 }, patience, time.Millisecond)
	b.release("/1", "/2")
	c.expect("answer /1 " + first)
	c.expect("answer /2 " + strings.Repeat("z", 20*64))
}

// What stands around the chunks of a body may come without end as well.
func TestChunkedRequestWithoutEndIsCutOff(t *testing.T) {
	const head = "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct{ text, unit string }{
		"digits":    {head, "0"},
		"spaces":    {head + "1", " "},
		"extension": {head + "1;a=", "b"},
		"trailer":   {head + "0\r\n", "X: a\r\n"},
		"chunks":    {head, "1\r\na\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, startServer(t, newBackend(), listen.Options{}))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			c.send(test.text)
			block := []byte(strings.Repeat(test.unit, (32<<10)/len(test.unit)))
			written, err := 0, error(nil)
			for err == nil && written < 256<<20 {
				var n int
				n, err = c.conn.Write(block)
				written += n
			}
			require.Error(t, err, "the connection is closed")
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(64<<20))
		})
	}
}

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

func FuzzConnection(f *testing.F) {
	f.Add([]byte(get("/1") + get("/2")))
	f.Add([]byte(post("/1", "body") + get("/2")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.0\r\n\r\n"))
	f.Add([]byte("\r\n\r\nGET"))
	server, err := listen.New("127.0.0.1:0", func(_ context.Context, ctx *app.RequestContext) {
		_, _ = ctx.WriteString("ok")
	}, listen.Options{MaxBody: 1 << 16, Repeatable: repeatable})
	require.NoError(f, err)
	f.Cleanup(func() { require.NoError(f, server.Close(context.Background())) })
	f.Fuzz(func(t *testing.T, text []byte) {
		c := dial(t, server)
		_, _ = c.conn.Write(text)
		require.NoError(t, c.conn.(*net.TCPConn).CloseWrite())
		for {
			response, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		other := dial(t, server)
		other.send(get("/alive"))
		other.expect("ok")
	})
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
