package relay_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/budget"
	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// endlessServer answers each request with a text and then one unit after the other, until the client closes the connection.
type endlessServer struct {
	address string
	// ended is the number of connections that the client has closed.
	ended atomic.Int64
}

func newEndlessServer(t *testing.T, text, unit string) *endlessServer {
	t.Helper()
	s := &endlessServer{}
	block := []byte(strings.Repeat(unit, max(1, (32<<10)/len(unit))))
	s.address = serve(t, func(conn net.Conn) { s.respond(conn, text, block) })

	return s
}

func (s *endlessServer) respond(conn net.Conn, text string, block []byte) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := conn.Write([]byte(text))
	for err == nil {
		_, err = conn.Write(block)
	}
	s.ended.Add(1)
}

const (
	endlessBody = 256 << 10
	// maxEndlessAlloc bounds the memory that an attempt allocates: a body grows by doubling, and so does the input buffer.
	maxEndlessAlloc = 4 << 20
	// maxEndlessTime is far above the time that the bounded part takes.
	maxEndlessTime = 3 * time.Second
)

func TestResponseWithoutEndIsCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		text, unit string
		reason     call.Reason
	}{
		"status line":       {text: "HTTP/1.1 200 O", unit: "K", reason: call.ReasonBroken},
		"blank lines":       {unit: "\r\n", reason: call.ReasonBroken},
		"garbage":           {unit: "\x00\xff", reason: call.ReasonBroken},
		"header value":      {text: head + "X: ", unit: "a", reason: call.ReasonBroken},
		"header lines":      {text: head, unit: "X: a\r\n", reason: call.ReasonBroken},
		"folded header":     {text: head + "X: a\r\n", unit: " a\r\n", reason: call.ReasonBroken},
		"continue":          {unit: "HTTP/1.1 100 Continue\r\n\r\n", reason: call.ReasonBroken},
		"early hints":       {unit: "HTTP/1.1 103 Early Hints\r\n\r\n", reason: call.ReasonBroken},
		"close delimited":   {text: head + "\r\n", unit: "a", reason: call.ReasonTorn},
		"chunks":            {text: head + "Transfer-Encoding: chunked\r\n\r\n", unit: "1\r\na\r\n", reason: call.ReasonTorn},
		"one chunk":         {text: head + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", unit: "a", reason: call.ReasonTorn},
		"chunk size":        {text: head + "Transfer-Encoding: chunked\r\n\r\n", unit: "0", reason: call.ReasonTorn},
		"chunk size spaces": {text: head + "Transfer-Encoding: chunked\r\n\r\n1", unit: " ", reason: call.ReasonTorn},
		"chunk extension":   {text: head + "Transfer-Encoding: chunked\r\n\r\n1;a=", unit: "a", reason: call.ReasonTorn},
		"trailer line":      {text: head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", unit: "a", reason: call.ReasonTorn},
		"trailer lines":     {text: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", unit: "X: a\r\n", reason: call.ReasonTorn},
		"stated length":     {text: head + "Content-Length: 2000000000\r\n\r\n", unit: "a", reason: call.ReasonTooLarge},
		"other responses":   {unit: head + "X-Id: other\r\nContent-Length: 0\r\n\r\n", reason: call.ReasonBroken},
		"other response":    {text: head + "X-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", unit: "1\r\na\r\n", reason: call.ReasonBroken},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := newEndlessServer(t, test.text, test.unit)
			client, closeClient := relay.NewClient(time.Minute)
			t.Cleanup(closeClient)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			startedAt := time.Now()
			_, err := get(t.Context(), client, server.address, relay.Limits{
				MaxBodyBytes:        endlessBody,
				AllowCloseDelimited: true,
				Matches:             func(header *protocol.ResponseHeader) bool { return string(header.Peek("X-Id")) != "other" },
			})
			require.Less(t, time.Since(startedAt), maxEndlessTime)
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxEndlessAlloc))
			outcome, reason := relay.OutcomeOf(err)
			require.Equal(t, call.OutcomeUnknown, outcome)
			require.Equal(t, test.reason, reason)
			require.Less(t, len(err.Error()), 512, "bytes of the server in an error text are bounded")
			require.Eventually(t, func() bool { return server.ended.Load() == 1 }, maxEndlessTime, time.Millisecond, "the connection is closed")
		})
	}
}

func TestStatedLengthTakesNoMemoryBeforeItsBytesArrive(t *testing.T) {
	server := newScriptedServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\nshort")
	client, closeClient := relay.NewClient(time.Minute)
	t.Cleanup(closeClient)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := get(t.Context(), client, server.address, relay.Limits{MaxBodyBytes: 64 << 20})
	runtime.ReadMemStats(&after)
	require.Error(t, err)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(endlessBody))
}

func TestBodiesOfAllResponsesStayWithinTheirBuffers(t *testing.T) {
	const attempts, bound = 8, 4 << 20
	server := newEndlessServer(t, "HTTP/1.1 200 OK\r\n\r\n", "a")
	client, closeClient := relay.NewClient(time.Minute)
	t.Cleanup(closeClient)
	buffers := budget.New(bound)
	results := make(chan error, attempts)
	for range attempts {
		go func() {
			response, err := get(context.Background(), client, server.address, relay.Limits{
				MaxBodyBytes: bound, AllowCloseDelimited: true, Buffers: buffers,
			})
			response.Close()
			results <- err
		}()
	}
	full := 0
	for range attempts {
		var failed *relay.Error
		require.True(t, errors.As(<-results, &failed))
		if failed.Reason == call.ReasonBufferFull {
			full++
		}
	}
	require.NotZero(t, full)

	small := newScriptedServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	response, err := get(t.Context(), client, small.address, relay.Limits{MaxBodyBytes: bound, Buffers: buffers})
	require.NoError(t, err, "closed responses give their memory back")
	require.Equal(t, "done", string(response.Response.Body()))
}

func TestInterimResponsesAreSkipped(t *testing.T) {
	server := newScriptedServer(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	client, closeClient := relay.NewClient(time.Minute)
	t.Cleanup(closeClient)
	response, err := get(t.Context(), client, server.address, relay.Limits{MaxBodyBytes: maxBodyBytes})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.Response.StatusCode())
	require.Equal(t, "done", string(response.Response.Body()))
}
