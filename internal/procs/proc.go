package procs

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/pistachiotack/pistachiotack/pkg/config"
)

const (
	fileMode      = 0o600
	readyPoll     = 10 * time.Millisecond
	pausePoll     = time.Millisecond
	logTail       = 8 << 10
	readyFileName = ".ready.toml"
)

// ErrNotReady is returned when a node ends, or the context, before the node is ready.
var ErrNotReady = errors.New("node is not ready")

// Process is one node as a process of its own.
type Process struct {
	settings config.Node
	binary   string
	stem     string
	command  *exec.Cmd
	ended    chan struct{}
	exit     error
}

// StartProcess writes the settings and starts a node; Ready says when it serves.
func StartProcess(ctx context.Context, binary, directory string, settings config.Node) (*Process, error) {
	p := &Process{settings: settings, binary: binary, stem: filepath.Join(directory, settings.Name)}
	p.settings.Listen.Ready = p.stem + readyFileName

	return p, p.start(ctx)
}

func (p *Process) start(ctx context.Context) error {
	text, err := toml.Marshal(p.settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	file := p.stem + ".toml"
	if err = os.WriteFile(file, text, fileMode); err != nil {
		return errors.Wrap(err, "write settings")
	}
	_ = os.Remove(p.settings.Listen.Ready)
	log, err := os.OpenFile(p.stem+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()

	p.command = exec.CommandContext(context.WithoutCancel(ctx), p.binary, "node", "--settings", file)
	p.command.Stdout = log
	p.command.Stderr = log
	if err = p.command.Start(); err != nil {
		return errors.Wrapf(err, "start node %s", p.settings.Name)
	}
	p.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan<- struct{}) {
		defer close(ended)
		p.exit = command.Wait()
	}(p.command, p.ended)

	return nil
}

// Ready waits until the node has announced its addresses.
func (p *Process) Ready(ctx context.Context) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		if text, err := os.ReadFile(p.settings.Listen.Ready); err == nil {
			return errors.Wrap(toml.Unmarshal(text, &p.settings.Listen), "read ready file")
		}
		select {
		case <-ticker.C:
		case <-p.ended:
			return errors.Wrapf(ErrNotReady, "%s ended: %v\n%s", p.settings.Name, p.exit, p.Log())
		case <-ctx.Done():
			return errors.Wrapf(ErrNotReady, "%s: %v\n%s", p.settings.Name, ctx.Err(), p.Log())
		}
	}
}

// Settings returns the settings, with the bound addresses once the node is ready.
func (p *Process) Settings() config.Node {
	return p.settings
}

// Pause stops the process in its tracks, without its knowledge, and returns once the kernel has done so.
func (p *Process) Pause() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for p.Running() {
		stopped, err := stoppedProcess(p.command.Process.Pid)
		if err != nil || stopped {
			return err
		}
		time.Sleep(pausePoll)
	}

	return nil
}

// Resume lets a paused process go on.
func (p *Process) Resume() error {
	return p.signal(syscall.SIGCONT)
}

// Terminate asks for a graceful shutdown and returns at once.
func (p *Process) Terminate() error {
	return p.signal(syscall.SIGTERM)
}

// Kill ends the process without any chance to clean up, and waits for its end.
func (p *Process) Kill() error {
	err := p.signal(syscall.SIGKILL)
	<-p.ended

	return err
}

// Wait returns the exit error of the process, or the context's error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.ended:
		return p.exit
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "wait for %s", p.settings.Name)
	}
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Restart starts the process again with the same settings and addresses, and an empty memory.
func (p *Process) Restart(ctx context.Context) error {
	if p.Running() {
		return errors.Newf("node %s still runs", p.settings.Name)
	}

	return p.start(ctx)
}

func (p *Process) signal(signal os.Signal) error {
	if !p.Running() {
		return nil
	}
	err := p.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}

	return errors.Wrapf(err, "signal %s", p.settings.Name)
}

// Log returns the end of what the node wrote.
func (p *Process) Log() string {
	text := p.log()

	return text[max(0, len(text)-logTail):]
}

func (p *Process) log() string {
	text, err := os.ReadFile(p.stem + ".log")
	if err != nil {
		return ""
	}

	return string(text)
}
