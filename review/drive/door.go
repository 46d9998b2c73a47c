package main

import (
	"context"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

// door is the way of one machine to the store, at which the store may turn it away.
type door struct {
	address string
	server  *http.Server
	pass    http.Handler
	away    atomic.Bool
}

// newDoor opens an address of the store.
func newDoor(ctx context.Context, store *stand.Store) (*door, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	pass := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store.Address()})
	pass.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	d := &door{address: listener.Addr().String(), pass: pass}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(listener) }()

	return d, nil
}

// ServeHTTP passes a call on, or turns it away.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.away.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	d.pass.ServeHTTP(w, r)
}

// turnAway makes the store answer 503 to this machine.
func (d *door) turnAway(away bool) {
	d.away.Store(away)
}

func (d *door) close() {
	_ = d.server.Close()
}
