package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Headers and paths of the pages.
const (
	headerRequestID   = "Pistachiotack-Request-Id"
	headerDeadline    = "Pistachiotack-Deadline-Ms"
	headerSignature   = "Pistachiotack-Upstream-Signature"
	headerInstance    = "Pistachiotack-Target-Instance"
	headerRespondedBy = "Pistachiotack-Instance-Id"
	pathHealth        = "/healthz"
	hostName          = "hulo84.example"
	pathRead          = "/leny950/"
	kindIdempotent    = "idempotent"
)

// behaviour runs a request at a target, and writes the answer's body. The header of the answer is set before.
type behaviour func(w http.ResponseWriter, r *http.Request)

// target is a sound target: it answers 421 to requests for other targets, and signs what it ran.
type target struct {
	id        string
	startedAt time.Time
	record    *record
	work      behaviour
	listener  net.Listener
	server    *http.Server
	ended     chan struct{}
}

// newTarget starts a target on a free port of a loopback address.
func newTarget(ctx context.Context, id, host string, r *record, work behaviour) (*target, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	t := &target{id: id, startedAt: time.Now(), record: r, work: work, listener: listener, ended: make(chan struct{})}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	go func() {
		defer close(t.ended)
		_ = t.server.Serve(listener)
	}()

	return t, nil
}

func (t *target) address() string {
	return t.listener.Addr().String()
}

func (t *target) close() {
	_ = t.server.Close()
	<-t.ended
}

// ServeHTTP answers a status check, or runs a request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	header := w.Header()
	header.Set(headerRespondedBy, t.id)
	if id != "" {
		header.Set(headerRequestID, id)
	}
	switch wanted := r.Header.Get(headerInstance); {
	case r.URL.Path == pathHealth:
		return
	case wanted != "" && wanted != t.id:
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	t.record.write("run", "%s runs %s (%s %s)", t.id, id, r.Method, r.RequestURI)
	header.Set(headerSignature, fmt.Sprintf("%s.%s", t.id, id))
	t.work(w, r)
}
