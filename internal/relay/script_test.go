package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/relay"
)

// serve handles each connection to the returned address until the test ends.
func serve(t *testing.T, handle func(conn net.Conn)) (address string) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()

	return listener.Addr().String()
}

// newSilentServer starts a server that answers with the text and then keeps the connection open until the client closes it.
func newSilentServer(t *testing.T, text string) *endlessServer {
	t.Helper()
	s := &endlessServer{}
	s.address = serve(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, reader)
		s.ended.Add(1)
	})

	return s
}

// open sends a GET request whose response may be read until the test ends.
func open(t *testing.T, client *relay.Client, address string, limits relay.Limits) (*relay.Response, error) {
	t.Helper()

	return send(t, client, address, http.MethodGet, limits)
}

func send(t *testing.T, client *relay.Client, address, method string, limits relay.Limits) (*relay.Response, error) {
	t.Helper()
	request := &protocol.Request{}
	request.Header.SetMethod(method)
	request.Header.SetRequestURI("/")
	request.Header.SetHost(address)
	limits.MaxBodyBytes, limits.Deadline = maxBodyBytes, time.Now().Add(attemptTimeout)
	response := &relay.Response{}

	return response, client.Do(t.Context(), address, request, response, limits)
}

// readStream reads a streamed body to its end.
func readStream(response *relay.Response) error {
	body, err := io.ReadAll(response.Stream)
	response.Close()
	response.Response.SetBody(body)

	return err
}

// expectResponse checks that a response which the server sends before it closes the connection is read whole, buffered and streamed.
func expectResponse(t *testing.T, text string, status int, body string) {
	t.Helper()
	for name, limits := range map[string]relay.Limits{"buffered": {}, "streamed": {Stream: true}} {
		client, closeClient := relay.NewClient(time.Minute)
		t.Cleanup(closeClient)
		limits.AllowCloseDelimited = true
		response, err := open(t, client, newScriptedServer(t, text).address, limits)
		require.NoError(t, err, name)
		require.Equal(t, status, response.Response.StatusCode(), name)
		if response.Stream != nil {
			require.NoError(t, readStream(response), name)
		}
		require.Equal(t, body, string(response.Response.Body()), name)
	}
}
