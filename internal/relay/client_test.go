package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const (
	attemptTimeout = 20 * time.Second
	maxBodyBytes   = 1 << 10
)

// scriptedServer is a server that responds to each request on a connection with the next text and closes the connection after the
// last one.
type scriptedServer struct {
	address  string
	accepted atomic.Int64
}

func newScriptedServer(t *testing.T, texts ...string) *scriptedServer {
	t.Helper()
	s := &scriptedServer{}
	s.address = serve(t, func(conn net.Conn) {
		s.accepted.Add(1)
		respond(conn, texts)
	})

	return s
}

func respond(conn net.Conn, texts []string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, text := range texts {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

func get(ctx context.Context, client *relay.Client, address string, limits relay.Limits) (*relay.Response, error) {
	request := &protocol.Request{}
	request.Header.SetMethod(http.MethodGet)
	request.Header.SetRequestURI("/")
	request.Header.SetHost(address)
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	got := &relay.Response{}

	return got, client.Do(ctx, address, request, got, limits)
}

func TestBodyBehindFoldedHeaderIsWhole(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 11\r\n\r\n", "hello world"
	server := newScriptedServer(t, head+body, head+body)
	client, closeClient := relay.NewClient(time.Minute)
	t.Cleanup(closeClient)
	for range 2 {
		response, err := get(t.Context(), client, server.address, relay.Limits{MaxBodyBytes: maxBodyBytes})
		require.NoError(t, err)
		require.Equal(t, body, string(response.Response.Body()))
		require.Equal(t, "a   b", string(response.Response.Header.Peek("X")))
	}
}

func TestErrorReportsTheFailedStage(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	tests := map[string]struct {
		text    string
		stage   relay.Stage
		reason  call.Reason
		outcome call.Outcome
	}{
		"closed before response": {text: "", stage: relay.StageWait, reason: call.ReasonBroken, outcome: call.OutcomeUnknown},
		"not HTTP":               {text: "hello there\r\n\r\n", stage: relay.StageWait, reason: call.ReasonBroken, outcome: call.OutcomeUnknown},
		"shorter than declared":  {text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", stage: relay.StageBody, reason: call.ReasonTorn, outcome: call.OutcomeUnknown},
		"truncated chunk":        {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\npart", stage: relay.StageBody, reason: call.ReasonTorn, outcome: call.OutcomeUnknown},
		"no length":              {text: "HTTP/1.1 200 OK\r\n\r\npart", stage: relay.StageBody, reason: call.ReasonTorn, outcome: call.OutcomeUnknown},
		"longer than declared":   {text: whole + "and more", stage: relay.StageBody, reason: call.ReasonTorn, outcome: call.OutcomeUnknown},
		"larger than allowed":    {text: "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n", stage: relay.StageBody, reason: call.ReasonTooLarge, outcome: call.OutcomeUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, closeClient := relay.NewClient(relay.PeerIdleTimeout)
			defer closeClient()
			_, err := get(t.Context(), client, newScriptedServer(t, test.text).address, relay.Limits{MaxBodyBytes: maxBodyBytes})
			var attemptErr *relay.Error
			require.ErrorAs(t, err, &attemptErr)
			require.Equal(t, test.stage, attemptErr.Stage)
			require.Equal(t, test.reason, attemptErr.Reason)
			require.Equal(t, test.outcome, attemptErr.Outcome())
		})
	}
}

func TestOutcomeOfReportsNotRunOnlyWithoutAConnection(t *testing.T) {
	for name, test := range map[string]struct {
		err     error
		outcome call.Outcome
		reason  call.Reason
	}{
		"no connection":       {&relay.Error{Stage: relay.StageDial, Reason: call.ReasonConnect}, call.OutcomeNotRun, call.ReasonConnect},
		"broken during write": {&relay.Error{Stage: relay.StageWrite, Reason: call.ReasonBroken}, call.OutcomeUnknown, call.ReasonBroken},
		"no response":         {&relay.Error{Stage: relay.StageWait, Reason: call.ReasonDeadline}, call.OutcomeUnknown, call.ReasonDeadline},
		"other error type":    {context.Canceled, call.OutcomeUnknown, call.ReasonBroken},
	} {
		t.Run(name, func(t *testing.T) {
			outcome, reason := relay.OutcomeOf(test.err)
			require.Equal(t, test.outcome, outcome)
			require.Equal(t, test.reason, reason)
		})
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	client, closeClient := relay.NewClient(relay.PeerIdleTimeout)
	defer closeClient()
	_, err = get(t.Context(), client, address, relay.Limits{MaxBodyBytes: maxBodyBytes})
	var attemptErr *relay.Error
	require.ErrorAs(t, err, &attemptErr)
	require.Equal(t, relay.StageDial, attemptErr.Stage)
	require.Equal(t, call.OutcomeNotRun, attemptErr.Outcome())
}

func TestConnectionsAreReusedUntilClosed(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	server := newScriptedServer(t, whole, whole, whole, whole)
	client, closeClient := relay.NewClient(relay.PeerIdleTimeout)
	defer closeClient()
	for range 3 {
		got, err := get(t.Context(), client, server.address, relay.Limits{MaxBodyBytes: maxBodyBytes})
		require.NoError(t, err)
		require.Equal(t, "done", string(got.Response.Body()))
		got.Close()
	}
	require.EqualValues(t, 1, server.accepted.Load())
	client.CloseConnections(server.address)
	_, err := get(t.Context(), client, server.address, relay.Limits{MaxBodyBytes: maxBodyBytes})
	require.NoError(t, err)
	require.EqualValues(t, 2, server.accepted.Load())
}

func TestExpiredIdleConnectionsAreNotReused(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	server := newScriptedServer(t, whole, whole)
	client, closeClient := relay.NewClient(time.Nanosecond * 2)
	defer closeClient()
	for range 2 {
		_, err := get(t.Context(), client, server.address, relay.Limits{MaxBodyBytes: maxBodyBytes})
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, server.accepted.Load())
}

func TestCheckProgressIsCalledWhileWaiting(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	client, closeClient := relay.NewClient(relay.PeerIdleTimeout)
	defer closeClient()
	calls := 0
	_, err = get(t.Context(), client, listener.Addr().String(), relay.Limits{
		MaxBodyBytes:     maxBodyBytes,
		ProgressInterval: time.Millisecond,
		CheckProgress: func() error {
			if calls++; calls < 3 {
				return nil
			}

			return call.NewRefusal(call.OutcomeUnknown, call.ReasonSilent)
		},
	})
	var attemptErr *relay.Error
	require.ErrorAs(t, err, &attemptErr)
	require.Equal(t, call.ReasonSilent, attemptErr.Reason)
	require.Equal(t, 3, calls)
}

func TestStreamReturnsEOFOnlyForACompleteBody(t *testing.T) {
	tests := map[string]struct {
		text string
		cut  bool
	}{
		"whole":         {text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"},
		"chunked":       {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"},
		"short length":  {text: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone", cut: true},
		"short chunk":   {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndone", cut: true},
		"no last chunk": {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", cut: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, closeClient := relay.NewClient(relay.PeerIdleTimeout)
			defer closeClient()
			request := &protocol.Request{}
			request.Header.SetRequestURI("/")
			address := newScriptedServer(t, test.text).address
			request.Header.SetHost(address)
			ctx, cancel := context.WithTimeout(t.Context(), attemptTimeout)
			defer cancel()
			got := &relay.Response{}
			var body []byte
			err := client.Do(ctx, address, request, got, relay.Limits{MaxBodyBytes: maxBodyBytes, Stream: true})
			if err == nil {
				body, err = io.ReadAll(got.Stream)
				got.Close()
			}
			if test.cut {
				require.ErrorIs(t, err, io.ErrUnexpectedEOF)

				return
			}
			require.NoError(t, err)
			require.Equal(t, "done", string(body))
		})
	}
}

// A server may send a second copy of a response late, when the connection is in use again: after the next request was sent.
func TestLateCopyOfAResponseNeverAnswersTheNextRequest(t *testing.T) {
	named := func(header *protocol.ResponseHeader) bool { return len(header.Peek("X-Id")) > 0 }
	for name, test := range map[string]struct {
		head     string
		accepted int64
	}{
		"named":   {head: "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 1\r\n\r\n%s", accepted: 1},
		"unnamed": {head: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%[2]s", accepted: 2},
	} {
		t.Run(name, func(t *testing.T) {
			answer := func(id string) string { return fmt.Sprintf(test.head, id, id) }
			server := newScriptedServer(t, answer("1"), answer("1")+answer("2"))
			client, closeClient := relay.NewClient(time.Minute)
			t.Cleanup(closeClient)
			for i, id := range []string{"1", "2"} {
				response, err := get(t.Context(), client, server.address, relay.Limits{
					MaxBodyBytes: maxBodyBytes,
					Matches:      func(header *protocol.ResponseHeader) bool { return !named(header) || string(header.Peek("X-Id")) == id },
					Named:        named,
				})
				require.NoError(t, err)
				// the unnamed server begins its script anew on the second connection
				expected := id
				if test.accepted == 2 {
					expected = "1"
				}
				require.Equal(t, expected, string(response.Response.Body()), "request %d", i)
			}
			require.Equal(t, test.accepted, server.accepted.Load())
		})
	}
}
