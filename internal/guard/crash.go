package guard

import (
	"context"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/waits"
	"github.com/pistachiotack/pistachiotack/pkg/beat"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/fatal"
)

const (
	// crashCheckTimeout limits the connection attempts that tell a process that has ended from one that has closed connections.
	crashCheckTimeout = 100 * time.Millisecond
	// crashCheckTime is how long an accepted connection stays open if its process lives. A process that ends closes its connections and its
	// listener one after the other, so that an attempt in between is accepted.
	crashCheckTime = 50 * time.Millisecond
	// crashCheckInterval is the time between connection attempts: a server that has too many connections resets each at once.
	crashCheckInterval = 10 * time.Millisecond
	// crashCollectTime is how long calls whose connections broke are collected before a crash is reported: all of them break at once.
	crashCollectTime = 10 * time.Millisecond
)

// headerCredentials is the header of HTTP by which callers identify themselves.
const headerCredentials = "Authorization"

// crash is the possible end of a backend server process, with the calls that were running when their connections broke.
type crash struct {
	process  string
	requests []fatal.ID
	// checked is closed once it is known whether the process has ended.
	checked chan struct{}
	ended   bool
}

// checkCrash reports whether the process has ended, given that the connection of a call broke that it was running. It waits for the
// result, which calls that broke at the same time share.
func (x *execution) checkCrash(c context.Context) bool {
	g, request := x.guard, x.requestID()
	g.mu.Lock()
	found := g.crash
	if found == nil || found.process != x.process {
		found = &crash{process: x.process, checked: make(chan struct{})}
		g.crash = found
		go g.investigate(context.WithoutCancel(c), found)
	}
	found.requests = append(found.requests, request)
	g.mu.Unlock()
	<-found.checked

	return found.ended
}

// investigate finds out whether the process has ended, and closes the channel of the crash.
func (g *Guard) investigate(c context.Context, found *crash) {
	defer close(found.checked)
	refused := refusesConnections(c, g.options.Backend)
	if refused {
		time.Sleep(crashCollectTime)
	}
	if g.closeCrash(found, refused) {
		g.crashes.RecordCrash(c, found.process, found.requests)
	}
}

// refusesConnections reports whether nothing accepts connections at the address, or soon ceases to.
func refusesConnections(c context.Context, address string) bool {
	dialCtx, cancel := context.WithTimeout(c, crashCheckTimeout)
	defer cancel()
	for {
		conn, err := (&net.Dialer{}).DialContext(dialCtx, "tcp", address)
		if err != nil {
			return dialCtx.Err() == nil
		}
		if staysOpen(conn) {
			return false
		}
		waits.Sleep(dialCtx, crashCheckInterval)
	}
}

// staysOpen reports whether the other end leaves the connection open for crashCheckTime, and closes it.
func staysOpen(conn net.Conn) bool {
	defer func() { _ = conn.Close() }()
	if err := conn.SetReadDeadline(time.Now().Add(crashCheckTime)); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))

	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// closeCrash ends the collection of calls, and marks the backend server as lost if its process has ended, which it reports.
func (g *Guard) closeCrash(found *crash, refused bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crash = nil
	found.ended = refused && g.backend.LastHeartbeat().ID == found.process && g.backend.State() != beat.StateDraining
	if found.ended {
		g.options.Log.Warn("backend server ended while it ran calls", slog.String("process", found.process), slog.Int("calls", len(found.requests)))
		g.backend.MarkLost()
		g.applyState(time.Now())
	}

	return found.ended
}

// requestID returns the ID that equal requests have.
func (x *execution) requestID() fatal.ID {
	if x.fatalID == nil {
		header := &x.in.Header
		x.fatalID = new(fatal.Request{
			Method: string(header.Method()), Host: string(header.Host()), URI: string(header.RequestURI()),
			Credentials: string(header.Peek(headerCredentials)), Body: x.in.Body(),
		}.ID())
	}

	return *x.fatalID
}

// verdict says whether the request may run, as far as it is known from crashes.
func (x *execution) verdict() fatal.Verdict {
	if !x.guard.crashes.Active() {
		return fatal.VerdictClean
	}

	return x.guard.crashes.Verdict(time.Now(), x.requestID())
}

// waitForTurn refuses a request that is known to crash backend servers, and waits until a suspect may run as the only one here. The
// returned function ends its turn.
func (x *execution) waitForTurn(c context.Context, deadline time.Time) (end func(), reason call.Reason) {
	nothing := func() {}
	switch x.verdict() {
	case fatal.VerdictClean:
		return nothing, ""
	case fatal.VerdictKnown:
		return nothing, call.ReasonQuarantined
	case fatal.VerdictSuspect:
	}
	timer := time.NewTimer(min(time.Until(deadline), queueWait))
	defer timer.Stop()
	turn := x.guard.suspectTurn
	select {
	case turn <- struct{}{}:
		return func() { <-turn }, ""
	case <-timer.C:
		return nothing, call.ReasonQueueTimeout
	case <-c.Done():
		return nothing, call.ReasonCancelled
	}
}
