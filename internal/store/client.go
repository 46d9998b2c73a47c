package store

import (
	"bytes"
	"context"
	"crypto/tls"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"
)

const (
	maxConnections = 16
	maxIdleTime    = 30 * time.Second
)

var errDial = errors.New("dial platform")

// dialer marks dial errors with errDial, so that a write that was never sent is told apart from one with an unknown effect.
type dialer struct {
	network.Dialer
}

// DialConnection opens a connection. Its errors wrap errDial.
func (d dialer) DialConnection(kind, address string, timeout time.Duration, tls *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(kind, address, timeout, tls)
	if err != nil {
		return nil, errors.WithSecondaryError(errors.Wrapf(errDial, "%v", err), err)
	}

	return conn, nil
}

// endpoint is an HTTP client of one platform service, with its own circuit breaker.
type endpoint struct {
	baseURL string
	timeout time.Duration
	client  *client.Client
	circuit circuitBreaker
}

func newEndpoint(address string, timeout time.Duration) (*endpoint, error) {
	c, err := client.NewClient(
		client.WithDialer(dialer{standard.NewDialer()}),
		client.WithDialTimeout(timeout),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithMaxConnWaitTimeout(timeout),
		client.WithMaxIdleConnDuration(maxIdleTime),
	)
	if err != nil {
		return nil, errors.Wrap(err, "make platform client")
	}

	return &endpoint{baseURL: "http://" + address, timeout: timeout, client: c}, nil
}

// request is a request to the platform; empty ETags add no header.
type request struct {
	method, path string
	body         []byte
	ifMatch      string
	ifNoneMatch  string
}

func (r request) isWrite() bool {
	return r.method != consts.MethodGet
}

type response struct {
	status int
	etag   string
	body   []byte
}

// do sends the request and records the result in the circuit breaker. The HTTP client may send a read again if a pooled connection
// was closed; a write is sent once. Without a response, a write fails with ErrUnavailable if nothing was sent,
// otherwise with ErrUnknownEffect.
func (e *endpoint) do(ctx context.Context, r request) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, errors.Wrapf(ErrUnavailable, "%s %s: %v", r.method, r.path, err)
	}
	if !e.circuit.allow(time.Now()) {
		return response{}, errors.Wrapf(ErrUnavailable, "%s %s: not tried, did not answer before", r.method, r.path)
	}
	got, err := e.exchange(ctx, r)
	if err != nil && ctx.Err() == nil || got.status == consts.StatusServiceUnavailable {
		e.circuit.recordFailure(time.Now())
	} else if err == nil {
		e.circuit.recordSuccess()
	}
	if err != nil {
		kind := ErrUnavailable
		if r.isWrite() && !errors.Is(err, errDial) {
			kind = ErrUnknownEffect
		}

		return response{}, errors.Wrapf(kind, "%s %s: %v", r.method, r.path, err)
	}

	return got, statusError(r, got.status)
}

// statusError returns the error for a response status, nil for 2xx and 304.
func statusError(r request, status int) error {
	var kind error
	switch {
	case status == consts.StatusNotModified, status >= consts.StatusOK && status < consts.StatusMultipleChoices:
		return nil
	case status == consts.StatusNotFound:
		kind = ErrNotFound
	case status == consts.StatusPreconditionFailed:
		kind = ErrConflict
	case status == consts.StatusServiceUnavailable, status == consts.StatusTooManyRequests:
		kind = ErrUnavailable
	case status >= consts.StatusInternalServerError && r.isWrite():
		kind = ErrUnknownEffect
	default:
		kind = ErrBadResponse
	}

	return errors.Wrapf(kind, "%s %s: status %d", r.method, r.path, status)
}

// exchange sends the request within the timeout of the endpoint and the deadline of the context.
func (e *endpoint) exchange(ctx context.Context, r request) (response, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(r.method)
	req.SetRequestURI(e.baseURL + r.path)
	if r.ifMatch != "" {
		req.SetHeader("If-Match", r.ifMatch)
	}
	if r.ifNoneMatch != "" {
		req.SetHeader("If-None-Match", r.ifNoneMatch)
	}
	if r.isWrite() {
		// The HTTP client doesn't retry a request with a body stream, so that a write isn't sent twice when its connection breaks.
		req.SetBodyStream(bytes.NewReader(r.body), len(r.body))
	}
	timeout := e.timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if timeout <= 0 {
		return response{}, errors.Wrap(errDial, "no time left")
	}
	req.SetOptions(config.WithRequestTimeout(timeout))
	if err := e.client.Do(ctx, req, resp); err != nil {
		return response{}, err
	}

	return response{status: resp.StatusCode(), etag: resp.Header.Get("ETag"), body: bytes.Clone(resp.Body())}, nil
}
