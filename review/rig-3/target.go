package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

const (
	headerRequestID = "Pistachiotack-Request-Id"
	headerDeadline  = "Pistachiotack-Deadline-Ms"
	headerProcess   = "Pistachiotack-Target-Instance"
	headerInstance  = "Pistachiotack-Instance-Id"
	headerSignature = "Pistachiotack-Upstream-Signature"
	pathHealth      = stand.PathHealth
	// unreadTime is how long a target waits for its caller to read on before it cuts the response off.
	unreadTime = 5 * time.Second
)

// target is a sound application target: it runs what it gets and answers with bytes made from the request's ID.
type target struct {
	id, service string
	slots       int
	listener    net.Listener
	server      *http.Server
	// work is how long a request runs, and size the length of the response in bytes.
	work func(r *http.Request) (work time.Duration, size int)
	// spoilEvery makes the target spoil the answer to each so many requests that it has run, zero for none: status 503 without a signature.
	spoilEvery int

	mu       sync.Mutex
	sequence int
	runs     map[string]run
}

// run is one request that a target ran.
type run struct {
	method, path string
	at           time.Time
}

// newTarget starts a target on a free loopback port.
func newTarget(ctx context.Context, id, service string, slots int, work func(r *http.Request) (time.Duration, int)) (*target, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{id: id, service: service, slots: slots, listener: listener, work: work, runs: map[string]run{}}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: time.Minute, WriteTimeout: 0}
	go func() { _ = t.server.Serve(listener) }()

	return t, nil
}

func (t *target) address() string {
	return t.listener.Addr().String()
}

func (t *target) close() {
	_ = t.server.Close()
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	w.Header().Set(headerInstance, t.id)
	if r.URL.Path == pathHealth {
		return
	}
	if wanted := r.Header.Get(headerProcess); wanted != "" && wanted != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	t.mu.Lock()
	t.runs[id] = run{method: r.Method, path: r.URL.Path, at: time.Now()}
	spoil := t.spoilEvery > 0 && len(t.runs)%t.spoilEvery == 0
	t.mu.Unlock()
	work, size := t.work(r)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	if spoil {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	w.Header().Set(headerSignature, "signed."+id)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(unreadTime))
	_, _ = w.Write(answer(id, size))
}

// answer returns the body that belongs to a request.
func answer(id string, size int) []byte {
	pattern := []byte(id + ".")

	return bytes.Repeat(pattern, size/len(pattern)+1)[:size]
}

// ran reports when a request ran, false if it did not.
func (t *target) ran(id string) (run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.runs[id]

	return found, ok
}

// beat sends heartbeats to the node beside the target until the context ends.
func (t *target) beat(ctx context.Context, control string) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		t.sendHeartbeat(ctx, control)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *target) sendHeartbeat(ctx context.Context, control string) {
	t.mu.Lock()
	t.sequence++
	sequence := t.sequence
	t.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"address": t.address(),
		"info":    map[string]any{"service": t.service, "version": "v1", "zone": zone, "slots": t.slots},
		"status":  map[string]any{"state": "ready", "sequence": sequence, "cold_left_s": 0},
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/instances/%s", control, t.id), bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Close = true
	_, _ = stand.Exchange(http.DefaultClient, request)
}
