package listen_test

import (
	"context"
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
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/listen"
)

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

func TestBodyOfARunningRequestIsNotOverwrittenByLaterOnes(t *testing.T) {
	b, c := startAndDial(t)
	const first = "the body of the first request"
	c.send("GET /1 HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(len(first)) + "\r\n\r\n" + first)
	b.awaitStarted(t, 1)
	c.send("GET /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	for range 20 {
		c.send("40;x=y\r\n" + strings.Repeat("z", 64) + "\r\n")
		time.Sleep(time.Millisecond)
	}
	c.send("0\r\nX: trailer\r\n\r\n")
	b.awaitStarted(t, 2)
	b.release("/1", "/2")
	c.expect("answer /1 " + first)
	c.expect("answer /2 " + strings.Repeat("z", 20*64))
}

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
