package listen_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/listen"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
)

const (
	shortTimeout = 200 * time.Millisecond
	// tolerance is the time after a timeout within which a connection has to be closed.
	tolerance = 2 * time.Second
)

// awaitEnd reads until the server closes the connection, and returns what it sent and how long it took.
func (c *client) awaitEnd() (string, time.Duration) {
	c.t.Helper()
	startedAt := time.Now()
	text, err := io.ReadAll(c.reader)
	require.NoError(c.t, err)

	return string(text), time.Since(startedAt)
}

func TestLimitsBoundWhatClientsSend(t *testing.T) {
	limits := routes.Limits{MaxHeader: 1 << 10, MaxBody: 4 << 10, HeaderTimeout: shortTimeout, IdleTimeout: shortTimeout}
	const head = "POST /1 HTTP/1.1\r\nHost: a\r\n"
	for name, test := range map[string]struct {
		text   string
		status string
	}{
		"header":            {head + "X: " + strings.Repeat("a", 2<<10) + "\r\n\r\n", "431"},
		"body":              {post("/1", strings.Repeat("b", 5<<10)), "413"},
		"chunked body":      {head + "Transfer-Encoding: chunked\r\n\r\n1400\r\n" + strings.Repeat("b", 5<<10) + "\r\n0\r\n\r\n", "413"},
		"time of a header":  {head + "X: a", "408"},
		"wait for requests": {"", ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend()
			c := dial(t, startServer(t, b, listen.Options{Limits: func() routes.Limits { return limits }}))
			c.send(test.text)
			response, elapsed := c.awaitEnd()
			require.Less(t, elapsed, shortTimeout+tolerance)
			require.Equal(t, test.status, strings.TrimPrefix(response, "HTTP/1.1 ")[:len(test.status)], response)
			require.Empty(t, b.startedPaths())
		})
	}
}

func TestRequestsWithinLimitsAreServed(t *testing.T) {
	limits := routes.Limits{MaxHeader: 1 << 10, MaxBody: 4 << 10, HeaderTimeout: tolerance, IdleTimeout: shortTimeout}
	b := newBackend()
	c := dial(t, startServer(t, b, listen.Options{Limits: func() routes.Limits { return limits }}))
	b.release("/1", "/2")
	body := strings.Repeat("b", 4<<10)
	c.send(post("/1", body))
	c.expect("answer /1 " + body)
	text := get("/2")
	c.send(text[:len(text)/2])
	time.Sleep(2 * shortTimeout)
	c.send(text[len(text)/2:])
	c.expect("answer /2 ")
	_, elapsed := c.awaitEnd()
	require.GreaterOrEqual(t, elapsed, shortTimeout/2)
}

func TestLimitsMayChangeButNotAboveThoseOfTheServer(t *testing.T) {
	var maxHeader atomic.Int64
	b := newBackend()
	b.release("/1", "/2")
	server := startServer(t, b, listen.Options{
		MaxHeader: 4 << 10,
		Limits:    func() routes.Limits { return routes.Limits{MaxHeader: int(maxHeader.Load())} },
	})
	large := "GET /1 HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 2<<10) + "\r\n\r\n"
	c := dial(t, server)
	c.send(large)
	c.expect("answer /1 ")
	maxHeader.Store(1 << 10)
	c.send(large)
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	maxHeader.Store(1 << 20)
	other := dial(t, server)
	_, _ = io.WriteString(other.conn, strings.Replace(large, "X: ", "X: "+strings.Repeat("a", 4<<10), 1))
	refused, err := http.ReadResponse(other.reader, nil)
	require.NoError(t, err)
	require.NoError(t, refused.Body.Close())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, refused.StatusCode)
}
