package guard

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/beat"
)

const (
	// crashCheckTimeout limits the connection attempt that tells a process that has ended from one that has closed connections.
	crashCheckTimeout = 100 * time.Millisecond
	// crashCollectTime is how long calls whose connections broke are collected before a crash is reported: all of them break at once.
	crashCollectTime = 10 * time.Millisecond
)

// crash is the possible end of a backend server process, with the calls that were running when their connections broke.
type crash struct {
	process string
	calls   int
	// checked is closed once it is known whether the process has ended.
	checked chan struct{}
	ended   bool
}

// checkCrash reports whether the process has ended, given that the connection of a call broke that it was running. It waits for the
// result, which calls that broke at the same time share.
func (x *execution) checkCrash(c context.Context) bool {
	g := x.guard
	g.mu.Lock()
	found := g.crash
	if found == nil || found.process != x.process {
		found = &crash{process: x.process, checked: make(chan struct{})}
		g.crash = found
		go g.investigate(context.WithoutCancel(c), found)
	}
	found.calls++
	g.mu.Unlock()
	<-found.checked

	return found.ended
}

// investigate finds out whether the process has ended, and closes the channel of the crash.
func (g *Guard) investigate(c context.Context, found *crash) {
	defer close(found.checked)
	c, cancel := context.WithTimeout(c, crashCheckTimeout)
	defer cancel()
	refused := false
	conn, err := (&net.Dialer{}).DialContext(c, "tcp", g.options.Backend)
	if err == nil {
		_ = conn.Close()
	} else {
		refused = c.Err() == nil
		time.Sleep(crashCollectTime)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crash = nil
	found.ended = refused && g.backend.LastHeartbeat().ID == found.process && g.backend.State() != beat.StateDraining
	if found.ended {
		g.options.Log.Warn("backend server ended while it ran calls", slog.String("process", found.process), slog.Int("calls", found.calls))
	}
}
