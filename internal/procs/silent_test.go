package procs_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/fault"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const silentTree = `
places = ["hal-a"]
services = ["logboek", "keuring"]
attempts = 20
retries = 6
retryRatio = 0.5
progress = "80ms"
deadline = "5s"

[service.keuring.kind.signoff]
method = "POST"
path = "/signoffs"
once = true

[service.keuring.kind.note]
method = "POST"
path = "/notes"

[service.keuring.kind.slow]
method = "GET"
path = "/slow"
idempotent = true
`

const slowWork = 400 * time.Millisecond

// newPair starts one entry and one executing node.
func newPair(t *testing.T) (l *line, entry, home *lineTarget) {
	t.Helper()
	l = newLine(t, lineOptions{tree: silentTree, services: []lineService{
		{name: "logboek", targets: 1},
		{name: "keuring", targets: 1, routes: []fake.Route{
			{Method: http.MethodPost, Prefix: "/signoffs", Work: slowWork, Bytes: 64},
			{Method: http.MethodPost, Prefix: "/notes", Work: time.Millisecond, Bytes: 64},
			{Method: http.MethodGet, Prefix: "/slow", Work: slowWork, Bytes: 64},
		}},
	}})

	return l, l.targets[0], l.targets[1]
}

// TestSilentConnectionsAreDroppedAndNothingRunsTwice blackholes what is open, while new connections work.
func TestSilentConnectionsAreDroppedAndNothingRunsTwice(t *testing.T) {
	l, entry, home := newPair(t)
	for round := range 3 {
		warm := fmt.Sprint("warm", round)
		require.Equal(t, http.StatusOK, l.call(t.Context(), entry, http.MethodPost, uriOf("/notes", warm), wire.HeaderService, "keuring").status)
		require.Positive(t, home.link.SilenceOpen())

		request := fmt.Sprint("silent", round)
		got := l.call(t.Context(), entry, http.MethodPost, uriOf("/notes", request), wire.HeaderService, "keuring")
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Equal(t, 1, l.ledger.Request(request).Runs)
	}
}

// TestLongWorkOnAHealthyConnectionIsLeftAlone: the node says that it runs.
func TestLongWorkOnAHealthyConnectionIsLeftAlone(t *testing.T) {
	l, entry, _ := newPair(t)
	got := l.call(t.Context(), entry, http.MethodGet, uriOf("/slow", "long"), wire.HeaderService, "keuring")
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.Equal(t, 1, l.ledger.Request("long").Arrivals)
}

// TestAnswerOfAOnceCallIsFetchedWhenItsConnectionGoesSilent while the backend server works.
func TestAnswerOfAOnceCallIsFetchedWhenItsConnectionGoesSilent(t *testing.T) {
	l, entry, home := newPair(t)
	ticket := l.ticket(t, entry, "/signoffs", "keuring", "signed")
	done := make(chan reply, 1)
	go func() {
		done <- l.call(context.WithoutCancel(t.Context()), entry, http.MethodPost, ticket, wire.HeaderService, "keuring")
	}()
	require.Eventually(t, func() bool { return l.ledger.Request("signed").Runs == 1 }, linePatience, linePoll)
	home.link.SilenceOpen()

	got := <-done
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.Equal(t, call.OutcomeRan, got.outcome)
	require.Equal(t, string(fake.Body(fake.Seed(http.MethodPost, uriOf("/signoffs", "signed"), nil), 64)), got.body)
	require.Equal(t, 1, l.ledger.Request("signed").Runs)
}

// TestNotRunIsOnlySaidWhenItIsTrue: answers are lost, and a call that may run once must not be called notRun.
func TestNotRunIsOnlySaidWhenItIsTrue(t *testing.T) {
	l, entry, home := newPair(t)
	home.link.Set(fault.Fault{LoseAnswers: true})
	got := l.call(t.Context(), entry, http.MethodPost, uriOf("/notes", "lost"), wire.HeaderService, "keuring", wire.HeaderTimeout, "1s")
	require.Equal(t, call.OutcomeUnknown, got.outcome, got.body)
	require.Equal(t, 1, l.ledger.Request("lost").Runs)

	require.NoError(t, home.link.Refuse())
	home.link.ResetOpen()
	got = l.call(t.Context(), entry, http.MethodPost, uriOf("/notes", "refused"), wire.HeaderService, "keuring", wire.HeaderTimeout, "1s")
	require.Equal(t, call.OutcomeNotRun, got.outcome, got.body)
	require.Zero(t, l.ledger.Request("refused").Arrivals)
}
