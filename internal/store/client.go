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
	idleConnection = 30 * time.Second
)

var errDial = errors.New("dial platform")

// dialer marks errors of dialling, after which nothing was sent.
type dialer struct {
	network.Dialer
}

// DialConnection opens a connection, an error wraps errDial.
func (d dialer) DialConnection(kind, address string, timeout time.Duration, tls *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(kind, address, timeout, tls)
	if err != nil {
		return nil, errors.WithSecondaryError(errors.Wrapf(errDial, "%v", err), err)
	}

	return conn, nil
}

// endpoint is one of the platform's services, with a circuit of its own.
type endpoint struct {
	base    string
	timeout time.Duration
	client  *client.Client
	circuit circuit
}

func newEndpoint(address string, timeout time.Duration) (*endpoint, error) {
	c, err := client.NewClient(
		client.WithDialer(dialer{standard.NewDialer()}),
		client.WithDialTimeout(timeout),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithMaxConnWaitTimeout(timeout),
		client.WithMaxIdleConnDuration(idleConnection),
	)
	if err != nil {
		return nil, errors.Wrap(err, "make platform client")
	}

	return &endpoint{base: "http://" + address, timeout: timeout, client: c}, nil
}

// request is one exchange with the platform.
type request struct {
	method, path string
	body         []byte
	ifMatch      string
	ifNoneMatch  string
}

func (r request) writes() bool {
	return r.method != consts.MethodGet
}

// answer is what the platform said.
type answer struct {
	status int
	etag   string
	body   []byte
}

// do sends the request once, reads a second time if a pooled connection had ended.
func (e *endpoint) do(ctx context.Context, r request) (answer, error) {
	if err := ctx.Err(); err != nil {
		return answer{}, errors.Wrapf(ErrUnavailable, "%s %s: %v", r.method, r.path, err)
	}
	if !e.circuit.allow(time.Now()) {
		return answer{}, errors.Wrapf(ErrUnavailable, "%s %s: not tried, did not answer before", r.method, r.path)
	}
	got, err := e.exchange(ctx, r)
	if err != nil && ctx.Err() == nil || got.status == consts.StatusServiceUnavailable {
		e.circuit.failed(time.Now())
	} else if err == nil {
		e.circuit.succeeded()
	}
	if err != nil {
		kind := ErrUnavailable
		if r.writes() && !errors.Is(err, errDial) {
			kind = ErrUnknownEffect
		}

		return answer{}, errors.Wrapf(kind, "%s %s: %v", r.method, r.path, err)
	}

	return got, statusError(r, got.status)
}

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
	case status >= consts.StatusInternalServerError && r.writes():
		kind = ErrUnknownEffect
	default:
		kind = ErrBadResponse
	}

	return errors.Wrapf(kind, "%s %s: status %d", r.method, r.path, status)
}

func (e *endpoint) exchange(ctx context.Context, r request) (answer, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(r.method)
	req.SetRequestURI(e.base + r.path)
	if r.ifMatch != "" {
		req.SetHeader("If-Match", r.ifMatch)
	}
	if r.ifNoneMatch != "" {
		req.SetHeader("If-None-Match", r.ifNoneMatch)
	}
	if r.writes() {
		// A body stream keeps the library from sending a write twice when its connection breaks.
		req.SetBodyStream(bytes.NewReader(r.body), len(r.body))
	}
	timeout := e.timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if timeout <= 0 {
		return answer{}, errors.Wrap(errDial, "no time left")
	}
	req.SetOptions(config.WithRequestTimeout(timeout))
	if err := e.client.Do(ctx, req, resp); err != nil {
		return answer{}, err
	}

	return answer{status: resp.StatusCode(), etag: resp.Header.Get("ETag"), body: bytes.Clone(resp.Body())}, nil
}
