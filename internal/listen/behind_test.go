package listen_test

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/listen"
)

// endTimeout bounds the time from a closing response to the end of its connection, which a client waits for before it sends the requests
// behind that response again.
const endTimeout = 500 * time.Millisecond

// unfinished returns requests whose first part has arrived when an earlier response closes their connection, and their rest.
func unfinished() map[string][2]string {
	head := func(method, fields string) string {
		return method + " /2 HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n\r\n"
	}
	const large = 300 << 10

	return map[string][2]string{
		"head":                  {"GET /2 HTTP/1.1\r\nHo", "st: a\r\n\r\n"},
		"body":                  {head(http.MethodGet, "Content-Length: 10") + "hello", "world"},
		"large body":            {head(http.MethodGet, "Content-Length: "+strconv.Itoa(large)) + strings.Repeat("a", 200<<10), strings.Repeat("a", 100<<10)},
		"chunked body":          {head(http.MethodGet, "Transfer-Encoding: chunked") + "5\r\nhello\r\n", "0\r\n\r\n"},
		"malformed chunk":       {head(http.MethodGet, "Transfer-Encoding: chunked") + "5\r\nhello\r\n", "none\r\n\r\n"},
		"must not run twice":    {head(http.MethodPost, "Content-Length: 10") + "hello", "world"},
		"client closes as well": {head(http.MethodGet, "Connection: close\r\nContent-Length: 10") + "hello", "world"},
		"body on demand":        {head(http.MethodGet, "Expect: 100-continue\r\nContent-Length: 5"), "hello"},
	}
}

// Guards against a success, or any other response, behind the one that closed the connection: a request whose body was still being read
// when that one was sent was run and answered.
func TestRequestBeingReadBehindAClosingResponseIsNeitherRunNorAnswered(t *testing.T) {
	t.Parallel()
	for name, parts := range unfinished() {
		for cause, stop := range map[string]bool{"response closes": false, "planned stop": true} {
			for when, restComes := range map[string]bool{"rest comes": true, "rest never comes": false} {
				t.Run(name+", "+cause+", "+when, func(t *testing.T) {
					t.Parallel()
					b := newBackend()
					b.closes["/1"] = !stop
					server := startServer(t, b, listen.Options{})
					c := dial(t, server)
					c.send(get("/1"), parts[0])
					b.awaitStarted(t, 1)
					time.Sleep(pieceInterval)
					if stop {
						server.DisableKeepAlives()
					}
					b.release("/1", "/2")
					require.True(t, c.expect("answer /1 "))
					if restComes {
						// the server may have closed its side
						_, _ = io.WriteString(c.conn, parts[1])
					}
					closedAt := time.Now()
					c.expectEnd()
					require.Less(t, time.Since(closedAt), endTimeout)
					require.Equal(t, []string{"/1"}, b.startedPaths())
					require.Eventually(t, func() bool { return server.ActiveRequests() == 0 }, patience, time.Millisecond)
				})
			}
		}
	}
}

// Guards against a request that is run behind a closing response which waits for an earlier one.
func TestRequestBeingReadIsAbandonedOnceAResponseIsToClose(t *testing.T) {
	t.Parallel()
	for name, parts := range unfinished() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend()
			b.closes["/b"] = true
			server := startServer(t, b, listen.Options{})
			c := dial(t, server)
			c.send(get("/a"), get("/b"), parts[0])
			b.awaitStarted(t, 2)
			time.Sleep(pieceInterval)
			b.release("/b", "/2")
			time.Sleep(pieceInterval)
			c.send(parts[1])
			time.Sleep(pieceInterval)
			b.release("/a")
			require.False(t, c.expect("answer /a "))
			require.True(t, c.expect("answer /b "))
			c.expectEnd()
			started := b.startedPaths()
			slices.Sort(started)
			require.Equal(t, []string{"/a", "/b"}, started)
		})
	}
}

// Guards against abandoned bodies that keep the memory which all bodies share.
func TestAbandonedBodiesReleaseTheirMemory(t *testing.T) {
	const bodyBytes, connections = 1 << 20, 70
	b := newBackend()
	b.closes["/1"] = true
	server := startServer(t, b, listen.Options{})
	b.release("/1", "/2")
	head := "GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(bodyBytes) + "\r\n\r\n"
	for i := range connections {
		c := dial(t, server)
		c.send(get("/1"), head)
		b.awaitStarted(t, i+1)
		// the server may have closed its side
		_, _ = io.WriteString(c.conn, strings.Repeat("a", bodyBytes-1))
		require.True(t, c.expect("answer /1 "))
	}
	c := dial(t, server)
	body := strings.Repeat("a", bodyBytes)
	c.send(head, body)
	c.expect("answer /2 " + body)
}

// Guards against a closing response that the client loses: requests behind one that ran alone were unread when the connection was closed,
// which resets it.
func TestClosingResponseArrivesBesideUnreadRequests(t *testing.T) {
	for name, first := range map[string]string{"alone": post("/1", "one"), "side by side": get("/1")} {
		t.Run(name, func(t *testing.T) {
			b := newBackend()
			b.closes["/1"] = true
			c := dial(t, startServer(t, b, listen.Options{}))
			c.send(first, post("/2", "two"), strings.Repeat(get("/3"), 6000))
			b.awaitStarted(t, 1)
			time.Sleep(pieceInterval)
			b.release("/1")
			time.Sleep(4 * pieceInterval)
			body := "answer /1 "
			if name == "alone" {
				body += "one"
			}
			require.True(t, c.expect(body))
			c.expectEnd()
		})
	}
}
