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
	"strings"
	"sync"
	"time"
)

// Headers of the platform.
const (
	headerID        = "Pistachiotack-Request-Id"
	headerDeadline  = "Pistachiotack-Deadline-Ms"
	headerSignature = "Pistachiotack-Upstream-Signature"
	headerTarget    = "Pistachiotack-Target-Instance"
	headerNotRun    = "Pistachiotack-Not-Executed"
	headerInstance  = "Pistachiotack-Instance-Id"
	headerCaller    = "Pistachiotack-Caller-Service"
	headerLeaving   = "Server-Leaving"
	headerWork      = "X-Work-Ms"
)

const (
	healthPath        = "/healthz"
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	slots             = 62
	stateReady        = "ready"
	stateDraining     = "draining"
)

// run is one request that a target began to work on.
type run struct {
	id     string
	caller []string
	target string
	at     time.Time
	ended  time.Time
}

// target is a stand-in of a target: it runs each request that names it for as long as the request asks, and sends heartbeats.
type target struct {
	id       string
	service  string
	address  string
	born     int64
	record   *record
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	leaving  bool
	sequence int
	runs     map[string][]*run
}

// newTarget starts a target on a free port, or on the address.
func newTarget(ctx context.Context, r *record, id, service, address string) (*target, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	t := &target{
		id: id, service: service, address: listener.Addr().String(), born: time.Now().UnixMilli(), record: r,
		listener: listener, runs: map[string][]*run{},
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(listener) }()

	return t, nil
}

// end ends the target's process.
func (t *target) end() {
	_ = t.server.Close()
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set(headerID, r.Header.Get(headerID))
	t.mu.Lock()
	leaving := t.leaving
	t.mu.Unlock()
	if leaving {
		header.Set("Connection", "close")
		header.Set(headerLeaving, "1")
	}
	switch wanted := r.Header.Get(headerTarget); {
	case r.URL.Path == healthPath:
		header.Set(headerInstance, t.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case wanted != "" && wanted != t.id:
		header.Set(headerInstance, t.id)
		header.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.Header.Get(headerID) == "":
		header.Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
	default:
		t.run(w, r)
	}
}

func (t *target) run(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	x := &run{id: r.Header.Get(headerID), caller: r.Header.Values(headerCaller), target: t.id, at: time.Now()}
	t.mu.Lock()
	t.runs[x.id] = append(t.runs[x.id], x)
	t.mu.Unlock()
	t.record.add("target %s runs %s, caller %q, deadline %s ms", t.id, x.id, x.caller, r.Header.Get(headerDeadline))
	work, _ := strconv.Atoi(r.Header.Get(headerWork))
	deadline, err := strconv.Atoi(r.Header.Get(headerDeadline))
	if err != nil {
		deadline = work
	}
	status := http.StatusOK
	if work > deadline {
		work, status = deadline, http.StatusGatewayTimeout
	}
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		t.record.add("target %s: connection of %s closed", t.id, x.id)

		return
	}
	t.mu.Lock()
	x.ended = time.Now()
	t.mu.Unlock()
	t.record.add("target %s answers %s with %d", t.id, x.id, status)
	w.Header().Set(headerSignature, t.id+"."+x.id)
	w.WriteHeader(status)
	fmt.Fprintf(w, "answer of %s to %s", t.id, x.id)
}

// runsOf returns the runs of a request.
func (t *target) runsOf(id string) []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []run
	for _, x := range t.runs[id] {
		found = append(found, *x)
	}

	return found
}

// allRuns returns all runs.
func (t *target) allRuns() []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []run
	for _, list := range t.runs {
		for _, x := range list {
			found = append(found, *x)
		}
	}

	return found
}

func (t *target) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// heartbeat makes the next heartbeat.
func (t *target) heartbeat(state string) []byte {
	t.mu.Lock()
	t.sequence++
	sequence := t.sequence
	t.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"address": t.address, "born": t.born,
		"info":   map[string]any{"service": t.service, "version": "v1", "zone": zone, "slots": slots},
		"status": map[string]any{"state": state, "sequence": sequence, "cold_left_s": 0},
	})

	return body
}

// send delivers a heartbeat or, without a body, a deregistration, and returns the status, zero for no answer.
func (t *target) send(ctx context.Context, control string, body []byte) int {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	method := http.MethodPut
	if body == nil {
		method = http.MethodDelete
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+control+"/instances/"+t.id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.record.add("target %s: %s without answer", t.id, method)

		return 0
	}
	defer func() { _ = response.Body.Close() }()
	t.record.add("target %s: %s %s answered %d", t.id, method, strings.TrimSpace(string(body)), response.StatusCode)

	return response.StatusCode
}

// beat sends heartbeats until the context ends or the target leaves.
func (t *target) beat(ctx context.Context, control string) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		t.mu.Lock()
		leaving := t.leaving
		t.mu.Unlock()
		if leaving {
			return
		}
		t.send(ctx, control, t.heartbeat(stateReady))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
