package fake

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/wire"
)

// idleConnections is the number of connections kept to one host.
const idleConnections = 512

// NewClient returns an HTTP client that closes an attempt's connection when its context ends.
func NewClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// EmptyBody is no body that keeps the HTTP client from sending a request twice when a connection breaks.
func EmptyBody() io.ReadCloser {
	return io.NopCloser(&emptyReader{})
}

type emptyReader struct{}

// Read returns io.EOF.
func (*emptyReader) Read([]byte) (int, error) {
	return 0, io.EOF
}

// Gateway calls through the node beside the server.
type Gateway struct {
	client  *http.Client
	address string
}

// NewGateway returns a caller that uses the node's listener for its backend server.
func NewGateway(address string) *Gateway {
	return &Gateway{client: NewClient(), address: address}
}

// Call makes one attempt and leaves retries to the node.
func (g *Gateway) Call(ctx context.Context, hop Hop, _, parent string) (int, []byte, error) {
	return send(ctx, g.client, g.address, hop, parent)
}

// Naive calls backend servers straight, in turn, with retries at once: the way without any layer.
type Naive struct {
	client  *http.Client
	timeout time.Duration
	retries int

	mu      sync.Mutex
	targets map[string][]string
	next    int
}

// NewNaive returns a caller with that timeout for each attempt and that many retries.
func NewNaive(timeout time.Duration, retries int) *Naive {
	return &Naive{client: NewClient(), timeout: timeout, retries: retries, targets: map[string][]string{}}
}

// SetTargets replaces the addresses of a service.
func (n *Naive) SetTargets(service string, addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.targets[service] = addresses
}

// Pick returns the next address of a service in turn, empty if there is none.
func (n *Naive) Pick(service string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	targets := n.targets[service]
	if len(targets) == 0 {
		return ""
	}
	n.next++

	return targets[n.next%len(targets)]
}

// Call tries one server after the other until one answers.
func (n *Naive) Call(ctx context.Context, hop Hop, _, parent string) (status int, body []byte, err error) {
	for attempt := 0; attempt <= n.retries && ctx.Err() == nil; attempt++ {
		try, cancel := context.WithTimeout(ctx, n.timeout)
		status, body, err = send(try, n.client, n.Pick(hop.Service), hop, parent)
		cancel()
		if err == nil && status < http.StatusInternalServerError {
			return status, body, nil
		}
	}

	return status, body, err
}

func send(ctx context.Context, client *http.Client, address string, hop Hop, parent string) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, hop.Method, "http://"+address+hop.Path, EmptyBody())
	if err != nil {
		return 0, nil, errors.Wrap(err, "make request")
	}
	request.Header.Set(wire.HeaderService, hop.Service)
	if parent != "" {
		request.Header.Set(wire.HeaderParent, parent)
	}
	if limit, ok := ctx.Deadline(); ok {
		request.Header.Set(wire.HeaderTimeout, time.Until(limit).String())
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "call %s", hop.Service)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)

	return response.StatusCode, body, errors.Wrapf(err, "read answer of %s", hop.Service)
}
