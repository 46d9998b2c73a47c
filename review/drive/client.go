package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// readyTimeout bounds one readiness check.
const readyTimeout = time.Second

// ready reports whether the readiness check answers 200.
func (n *node) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ports.Ready+"/readyz", nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()

	return response.StatusCode == http.StatusOK
}

// ask describes one request of a client.
type ask struct {
	id     string
	method string
	host   string
	path   string
	work   time.Duration
	budget time.Duration
	header http.Header
}

// answer is what the client saw.
type answer struct {
	ask    ask
	node   string
	sentAt time.Time
	endAt  time.Time
	status int
	body   string
	signed string
	err    error
}

// do sends a request and reads the whole answer.
func (w *world) do(ctx context.Context, client *http.Client, n *node, a ask) answer {
	ctx, cancel := context.WithTimeout(ctx, a.budget)
	defer cancel()
	result := answer{ask: a, node: n.name}
	request, err := http.NewRequestWithContext(ctx, a.method, "http://"+n.ports.Outbound+a.path, nil)
	if err != nil {
		result.err = err

		return result
	}
	request.Host = a.host
	for name, values := range a.header {
		request.Header[name] = values
	}
	request.Header.Set(headerID, a.id)
	request.Header.Set(headerDeadline, strconv.FormatInt(a.budget.Milliseconds(), 10))
	request.Header.Set(headerWork, strconv.FormatInt(a.work.Milliseconds(), 10))
	w.record.add("client of %s sends %s %s, work %s", n.name, a.method, a.id, a.work)
	result.sentAt = time.Now()
	response, err := client.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		var text []byte
		text, err = io.ReadAll(response.Body)
		result.status, result.body, result.signed = response.StatusCode, string(text), response.Header.Get(headerSignature)
	}
	result.endAt, result.err = time.Now(), err
	w.record.add("client of %s got %d %q, error %v, for %s after %s", n.name, result.status, result.body, err, a.id, result.endAt.Sub(result.sentAt).Round(time.Millisecond))

	return result
}
