package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

// nodeCommand is the program of the deploy file, and nodeRole its argument.
const (
	nodeCommand = "target/pistachiotack"
	nodeRole    = "sidecar"
)

// machine is one machine with its node process and its target.
type machine struct {
	world   *world
	name    string
	service string
	ports   stand.Ports
	target  *target
	// in is true while the platform sends clients to the node.
	in   atomic.Bool
	stop context.CancelFunc
	// loops waits for the heartbeats and the readiness questions.
	loops sync.WaitGroup

	mu       sync.Mutex
	process  *exec.Cmd
	ended    chan struct{}
	sequence int
}

// addMachine starts a target with its heartbeats, its node, and the platform's questions whether the node is ready.
func (w *world) addMachine(ctx context.Context, service string, work behaviour) error {
	ports, err := stand.FreePorts(ctx)
	if err != nil {
		return err
	}
	number := strconv.Itoa(len(w.machines))
	m := &machine{world: w, name: "sidecar-" + number, service: service, ports: ports}
	if m.target, err = newTarget(ctx, "i-"+number, hostOf(ports.Control), w.record, work); err != nil {
		return err
	}
	loopCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	m.stop = stop
	w.machines = append(w.machines, m)
	if err := m.start(); err != nil {
		return err
	}
	m.loops.Go(func() { m.sendHeartbeats(loopCtx) })
	m.loops.Go(func() { m.askWhetherReady(loopCtx) })

	return nil
}

// close ends the processes and stand-ins of the machine.
func (m *machine) close() {
	m.stop()
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	m.wait(startLimit)
	m.loops.Wait()
	m.target.close()
}

// start starts the node process.
func (m *machine) start() error {
	text, err := json.Marshal(m.settings())
	if err != nil {
		return err
	}
	path := filepath.Join(m.world.folder, m.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.world.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.CommandContext(context.Background(), nodeCommand, nodeRole)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), stand.SettingsVariable + "=" + path}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.world.record.write("process", "%s started as %d", m.name, command.Process.Pid)
	go func() {
		defer close(ended)
		err := command.Wait()
		m.world.record.write("process", "%s as %d ended: %v", m.name, command.Process.Pid, err)
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process, m.ended = command, ended

	return nil
}

// restart stops the node as the platform does, SIGTERM and SIGKILL after the grace period, and starts it again.
func (m *machine) restart() error {
	m.world.record.write("process", "%s gets SIGTERM", m.name)
	m.signal(syscall.SIGTERM)
	if !m.wait(gracePeriod) {
		m.signal(syscall.SIGKILL)
		m.wait(startLimit)
	}

	return m.start()
}

// signal sends a signal to the node process, if it runs.
func (m *machine) signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(signal)
	}
}

// wait waits until the node process has ended, and reports whether it has.
func (m *machine) wait(limit time.Duration) bool {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// sendHeartbeats sends the target's heartbeats to the node until the context ends.
func (m *machine) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		m.sendHeartbeat(ctx)
		sleep(ctx, heartbeat)
	}
}

func (m *machine) sendHeartbeat(ctx context.Context) {
	m.mu.Lock()
	m.sequence++
	sequence := m.sequence
	m.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"address": m.target.address(), "born": m.target.startedAt.UnixMilli(),
		"info":   map[string]any{"service": m.service, "version": "v1", "zone": zone, "slots": slots},
		"status": map[string]any{"state": "ready", "sequence": sequence, "cold_left_s": 0},
	})
	if err == nil {
		_ = exchange(ctx, http.MethodPut, "http://"+m.ports.Control+"/instances/"+m.target.id, body)
	}
}

// askWhetherReady asks the node each second, as the platform does: two misses take it out, and an answer of 200 brings it back.
func (m *machine) askWhetherReady(ctx context.Context) {
	for misses := 0; ctx.Err() == nil; sleep(ctx, readinessPeriod) {
		if m.isReady(ctx) {
			misses = 0
			m.in.Store(true)

			continue
		}
		if misses++; misses == missesUntilOut && m.in.Swap(false) {
			m.world.record.write("platform", "%s gets no new work", m.name)
		}
	}
}

func (m *machine) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()

	return exchange(ctx, http.MethodGet, "http://"+m.ports.Ready+"/readyz", nil) == http.StatusOK
}

// waitUntilServing waits until the node is ready and a request to its outbound address reaches a target.
func (m *machine) waitUntilServing(ctx context.Context) bool {
	deadline := time.Now().Add(startLimit)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if m.in.Load() && m.serves(ctx) {
			return true
		}
		sleep(ctx, readinessTimeout)
	}

	return false
}

func (m *machine) serves(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessPeriod)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ports.Outbound+pathRead, nil)
	if err != nil {
		return false
	}
	request.Host, request.Close = hostName, true
	request.Header.Set(headerRequestID, "warm-up-"+m.name)
	request.Header.Set(headerDeadline, "1000")

	return statusOf(request) == http.StatusOK
}

// exchange makes a call of the platform or of a target, and returns the status of the answer, zero for none within a second.
func exchange(ctx context.Context, method, url string, body []byte) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Close = true

	return statusOf(request)
}

// statusOf sends a request and returns the status of the answer, zero for none.
func statusOf(request *http.Request) int {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}

	return response.StatusCode
}
