package store

import (
	"bytes"
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/budget"
	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const (
	maxConnections = 16
	maxIdleTime    = 30 * time.Second
	// maxResponseBytes bounds the body of a response, and those of all responses of an endpoint together.
	maxResponseBytes = 32 << 20
)

// errNotSent means that a request found no free connection in time.
var errNotSent = errors.New("no free connection")

// endpoint is an HTTP client of one platform service, with its own circuit breaker.
type endpoint struct {
	address string
	timeout time.Duration
	client  *relay.Client
	close   func()
	// connections has an element for each connection in use.
	connections chan struct{}
	buffers     *budget.Budget
	circuit     circuitBreaker
}

func newEndpoint(address string, timeout time.Duration) *endpoint {
	client, closeClient := relay.NewClient(maxIdleTime)

	return &endpoint{
		address:     address,
		timeout:     timeout,
		client:      client,
		close:       closeClient,
		connections: make(chan struct{}, maxConnections),
		buffers:     budget.New(maxResponseBytes),
	}
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

// do sends the request and records the result in the circuit breaker. A read may be sent again if a pooled connection was closed; a
// write is sent once. Without a response, a write fails with ErrUnavailable if nothing was sent, otherwise with ErrUnknownEffect.
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
		if r.isWrite() && wasSent(err) {
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

// wasSent reports whether the platform may have received a request that failed.
func wasSent(err error) bool {
	outcome, _ := relay.OutcomeOf(err)

	return outcome != call.OutcomeNotRun && !errors.Is(err, errNotSent)
}

// exchange sends the request within the timeout of the endpoint and the deadline of the context.
func (e *endpoint) exchange(ctx context.Context, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	select {
	case e.connections <- struct{}{}:
		defer func() { <-e.connections }()
	case <-ctx.Done():
		return response{}, errNotSent
	}
	got := &relay.Response{}
	defer got.Close()
	limits := relay.Limits{MaxBodyBytes: maxResponseBytes, Buffers: e.buffers, AllowCloseDelimited: true, DialTimeout: e.timeout}
	err := e.client.Do(ctx, e.address, e.newRequest(r), got, limits)
	if !r.isWrite() && wasStale(err) {
		e.client.CloseConnections(e.address)
		got.Close()
		err = e.client.Do(ctx, e.address, e.newRequest(r), got, limits)
	}
	if err != nil {
		return response{}, err
	}
	header := &got.Response.Header

	return response{status: header.StatusCode(), etag: header.Get("ETag"), body: bytes.Clone(got.Response.Body())}, nil
}

// wasStale reports whether a request failed because the platform may have closed its pooled connection before.
func wasStale(err error) bool {
	var failed *relay.Error

	return errors.As(err, &failed) && failed.Reused && failed.Reason == call.ReasonBroken
}

func (e *endpoint) newRequest(r request) *protocol.Request {
	out := &protocol.Request{}
	out.Header.SetMethod(r.method)
	out.Header.SetRequestURI(r.path)
	out.Header.SetHost(e.address)
	if r.ifMatch != "" {
		wire.SetField(&out.Header, "If-Match", r.ifMatch)
	}
	if r.ifNoneMatch != "" {
		wire.SetField(&out.Header, "If-None-Match", r.ifNoneMatch)
	}
	out.SetBodyRaw(r.body)

	return out
}
