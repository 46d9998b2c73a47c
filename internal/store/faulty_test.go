package store_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/store"
)

const (
	// faultyTimeout is the timeout of requests to a faulty platform.
	faultyTimeout = 2 * time.Second
	// largestResponse is the size up to which responses are buffered.
	largestResponse = 32 << 20
	// maxAlloc bounds what two such responses allocate, whose buffers grow by doubling.
	maxAlloc = 2*2*largestResponse + 16<<20
	// maxGrowth is a quarter of what the responses would take on all connections if they did not share their memory.
	maxGrowth = 16 * 2 * largestResponse / 4
)

// faultyPlatform responds to each request with a text and then one unit after the other, until the client closes the connection.
type faultyPlatform struct {
	*store.Store

	// accepted and ended are the numbers of connections that were opened, and that the client has closed.
	accepted, ended atomic.Int64
}

func startFaultyPlatform(t *testing.T, text, unit string) *faultyPlatform {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &faultyPlatform{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go p.respond(conn, text, unit)
		}
	}()
	address := listener.Addr().String()
	p.Store = store.New(store.Options{Table: address, Objects: address, Timeout: faultyTimeout})
	t.Cleanup(func() { require.NoError(t, p.Stop(context.Background())) })

	return p
}

func (p *faultyPlatform) respond(conn net.Conn, text, unit string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	_, err := conn.Write([]byte(text))
	block := []byte(strings.Repeat(unit, (64<<10)/max(1, len(unit))))
	for err == nil && unit != "" {
		_, err = conn.Write(block)
	}
	_, _ = reader.ReadByte()
	p.ended.Add(1)
}

func TestResponseOfThePlatformWithoutEndIsCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct{ text, unit string }{
		"status line":       {text: "HTTP/1.1 200 O", unit: "K"},
		"blank lines":       {unit: "\r\n"},
		"garbage":           {unit: "\x00\xff"},
		"header value":      {text: head + "X: ", unit: "a"},
		"header lines":      {text: head, unit: "X: a\r\n"},
		"interim responses": {unit: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"close-delimited":   {text: head + "\r\n", unit: "a"},
		"chunks":            {text: head + "Transfer-Encoding: chunked\r\n\r\n", unit: "1\r\na\r\n"},
		"large chunks":      {text: head + "Transfer-Encoding: chunked\r\n\r\n", unit: "8000\r\n" + strings.Repeat("a", 0x8000) + "\r\n"},
		"one chunk":         {text: head + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", unit: "a"},
		"chunk size":        {text: head + "Transfer-Encoding: chunked\r\n\r\n", unit: "0"},
		"trailer value":     {text: head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", unit: "a"},
		"trailer lines":     {text: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", unit: "X: a\r\n"},
		"stated length":     {text: head + "Content-Length: 4000000000\r\n\r\n", unit: "a"},
		"length of nothing": {text: head + "Content-Length: 4000000000\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			platform := startFaultyPlatform(t, test.text, test.unit)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			startedAt := time.Now()
			_, err := platform.Get(t.Context(), "k")
			require.ErrorIs(t, err, store.ErrUnavailable)
			_, err = platform.Put(t.Context(), "k", []byte("v"), "")
			require.ErrorIs(t, err, store.ErrUnknownEffect)
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAlloc))
			require.Less(t, time.Since(startedAt), 2*faultyTimeout+time.Second)
			require.Less(t, len(err.Error()), 512, "bytes of the platform in an error text are bounded")
			require.Eventually(t, func() bool { return platform.ended.Load() == platform.accepted.Load() }, faultyTimeout, time.Millisecond,
				"the connections are closed")
		})
	}
}

func TestBrokenResponseOfThePlatformIsNoAnswer(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nETag: 1\r\nContent-Length: 4\r\n\r\ndone"
	for name, text := range map[string]string{
		"status 000":              strings.Replace(whole, "200", "000", 1),
		"status 099":              strings.Replace(whole, "200", "099", 1),
		"line without a colon":    strings.Replace(whole, "ETag: 1", "ETag", 1),
		"blank in a name":         strings.Replace(whole, "ETag", "E Tag", 1),
		"two lengths":             strings.Replace(whole, "ETag: 1", "Content-Length: 3", 1),
		"length no number, twice": strings.Replace(whole, "ETag: 1", "Content-Length: x", 1),
		"another coding":          strings.Replace(whole, "ETag: 1", "Transfer-Encoding: gzip", 1),
		"bytes behind the answer": whole + "more",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			platform := startFaultyPlatform(t, text, "")
			startedAt := time.Now()
			row, err := platform.Get(t.Context(), "k")
			require.ErrorIs(t, err, store.ErrUnavailable, "got %q", row.Value)
			_, err = platform.Put(t.Context(), "k", []byte("v"), "")
			require.ErrorIs(t, err, store.ErrUnknownEffect)
			require.Less(t, time.Since(startedAt), faultyTimeout, "known at once")
		})
	}
}

func TestResponsesOfThePlatformShareTheirMemory(t *testing.T) {
	const requests = 32
	platform := startFaultyPlatform(t, "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("a", 64<<10))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	failed := make(chan error, requests)
	for range requests {
		go func() {
			_, err := platform.GetObject(context.Background(), "o")
			failed <- err
		}()
	}
	for range requests {
		require.ErrorIs(t, <-failed, store.ErrUnavailable)
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.Sys-before.Sys, uint64(maxGrowth))
}

func TestReadIsSentAgainIfItsConnectionWasClosed(t *testing.T) {
	platform := startFaultyPlatform(t, "HTTP/1.1 200 OK\r\nETag: 1\r\nContent-Length: 4\r\n\r\ndone", "")
	for range 3 {
		row, err := platform.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, "done", string(row.Value))
	}
	require.EqualValues(t, 3, platform.accepted.Load(), "each connection ends at its second request")
	_, err := platform.Put(t.Context(), "k", []byte("v"), "")
	require.ErrorIs(t, err, store.ErrUnknownEffect)
	require.EqualValues(t, 3, platform.accepted.Load(), "a write is sent once")
}
