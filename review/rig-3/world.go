package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pistachiotack/pistachiotack/platform/stand"
)

const (
	// binary is what the build line of deploy/system.toml makes.
	binary = "target/pistachiotack"
	// graceTime is the time between SIGTERM and SIGKILL, as grace_period_s of the small sites.
	graceTime = 6 * time.Second
	// heartbeatInterval is the heartbeat_s of the small sites.
	heartbeatInterval = 1500 * time.Millisecond
	fileMode          = 0o600
	// startTime bounds the wait until a node is ready.
	// restartDelay is how long the platform waits before it starts a process again.
	restartDelay = 500 * time.Millisecond
	startTime    = 20 * time.Second
)

// node is one process of the system, with the settings of its machine.
type node struct {
	name    string
	options stand.NodeOptions
	file    string
	log     *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// newNode writes the settings of a node into the folder; it starts nothing.
func newNode(ctx context.Context, folder, name, service, backend, store string) (*node, error) {
	ports, err := stand.FreePorts(ctx)
	if err != nil {
		return nil, err
	}
	n := &node{name: name, file: filepath.Join(folder, name+".json"), options: stand.NodeOptions{
		Name: name, DataCentre: zone, Service: service, Backend: backend, Store: store, Ports: ports, GracePeriod: graceTime,
	}}
	text, err := stand.NodeFile(n.options)
	if err != nil {
		return nil, err
	}
	if err = os.WriteFile(n.file, text, fileMode); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(folder, name+".log"))

	return n, err
}

// start starts the process with the command of the deploy file, after a wrapper if there is one.
func (n *node) start(wrapper ...string) error {
	words := append(append([]string{}, wrapper...), binary, "sidecar")
	command := exec.Command(words[0], words[1:]...) //nolint:noctx // the process outlives the call and is ended by stop
	command.Env = append(os.Environ(), stand.SettingsVariable+"="+n.file)
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.command, n.exited = command, exited
	n.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(exited)
	}()

	return nil
}

// ended returns a channel that is closed when the process has ended.
func (n *node) ended() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.exited
}

func (n *node) signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(signal)
	}
}

// stop ends the process.
func (n *node) stop() {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return
	}
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-exited
}

// waitReady waits until the node says that it is ready.
func (n *node) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTime)
	for time.Now().Before(deadline) {
		if n.ready(ctx) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}

	return fmt.Errorf("%s is not ready after %s", n.name, startTime)
}

func (n *node) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.options.Ports.Ready+"/readyz", nil)
	if err != nil {
		return false
	}
	request.Close = true
	reply, err := stand.Exchange(http.DefaultClient, request)

	return err == nil && reply.Status == http.StatusOK
}

// dial opens a connection to a client address of a node.
func dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
}
