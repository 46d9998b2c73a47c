package procs_test

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/claim"
	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/plat"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const onceTree = `
places = ["hal-a"]
services = ["vitrina", "pokladna"]
attempts = 20
retries = 6
progress = "80ms"
retryRatio = 0.5
deadline = "2s"

[service.pokladna.kind.deposit]
method = "POST"
path = "/deposits"
once = true
priority = "vital"
`

const (
	depositPath  = "/deposits"
	depositBytes = 48
	pokladna     = "pokladna"
)

func newOnce(t testing.TB, work time.Duration) *line {
	t.Helper()

	return newLine(t, lineOptions{tree: onceTree, platform: true, services: []lineService{
		{name: pokladna, targets: 3, routes: []fake.Route{{Method: http.MethodPost, Prefix: depositPath, Work: work, Bytes: depositBytes}}},
	}})
}

// ticket asks for a ticket and returns the URL to repeat.
func (l *line) ticket(t testing.TB, entry *lineTarget, path, service, request string) string {
	t.Helper()
	got := l.call(t.Context(), entry, http.MethodPost, uriOf(path, request), wire.HeaderService, service)
	require.Equal(t, http.StatusTemporaryRedirect, got.status, got.body)

	return got.header.Get("Location")
}

func (l *line) deposit(ctx context.Context, entry *lineTarget, uri string, header ...string) reply {
	return l.call(ctx, entry, http.MethodPost, uri, append(header, wire.HeaderService, pokladna)...)
}

func wholeDeposit(request string) string {
	return string(fake.Body(fake.Seed(http.MethodPost, uriOf(depositPath, request), nil), depositBytes))
}

// homeOf returns the target that the ticket in an answer names.
func (l *line) homeOf(t *testing.T, header http.Header) *lineTarget {
	t.Helper()
	ticket, err := claim.ParseTicket(header.Get(wire.HeaderTicket))
	require.NoError(t, err)
	for _, target := range l.targets {
		if target.node.Settings().Name == ticket.Node {
			return target
		}
	}
	require.Fail(t, "ticket names an unknown home", ticket.Node)

	return nil
}

func other(l *line, than *lineTarget) *lineTarget {
	for _, target := range l.targets {
		if target != than {
			return target
		}
	}

	return nil
}

// TestSameKeyAtAllEntriesAtOnceRunsOnce has callers repeat a request hard at every node.
func TestSameKeyAtAllEntriesAtOnceRunsOnce(t *testing.T) {
	l := newOnce(t, 5*time.Millisecond)
	const keys, copies = 12, 4
	replies := make([]reply, keys*copies*len(l.targets))
	var group sync.WaitGroup
	for i := range replies {
		group.Go(func() {
			request := fmt.Sprint("same", i%keys)
			replies[i] = l.deposit(t.Context(), l.targets[i/keys%len(l.targets)], uriOf(depositPath, request), wire.HeaderIdempotencyKey, request)
		})
	}
	group.Wait()
	for i, got := range replies {
		request := fmt.Sprint("same", i%keys)
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Equal(t, wholeDeposit(request), got.body)
		require.Equal(t, 1, l.ledger.KeyRuns(request))
	}
}

// TestKeyOfAnotherRequestIsRefused: nobody gets someone else's answer by a key.
func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	l := newOnce(t, time.Millisecond)
	require.Equal(t, http.StatusOK, l.deposit(t.Context(), l.targets[0], uriOf(depositPath, "one"), wire.HeaderIdempotencyKey, "key").status)
	got := l.deposit(t.Context(), l.targets[1], uriOf(depositPath, "two"), wire.HeaderIdempotencyKey, "key")
	require.Equal(t, http.StatusConflict, got.status)
	require.Zero(t, l.ledger.Request("two").Arrivals)
}

// TestLostAnswersOfTheTableRunNothingTwice: claims take effect, and nobody hears of it.
func TestLostAnswersOfTheTableRunNothingTwice(t *testing.T) {
	l := newOnce(t, time.Millisecond)
	l.platform.SetFault(plat.NewFault(plat.ModeNoAnswer).OnWrites("claims/"))
	for i := range 6 {
		key := fmt.Sprint("lost", i)
		for try := range 3 {
			got := l.deposit(t.Context(), l.targets[(i+try)%3], uriOf(depositPath, key), wire.HeaderIdempotencyKey, key)
			require.NotEqual(t, call.OutcomeNotRun, got.outcome, got.body)
		}
		require.Equal(t, 1, l.ledger.KeyRuns(key))
	}
}

// TestTableAway: tickets go on, a bare key is refused without a promise.
func TestTableAway(t *testing.T) {
	l := newOnce(t, time.Millisecond)
	require.Equal(t, http.StatusOK, l.deposit(t.Context(), l.targets[0], uriOf(depositPath, "before"), wire.HeaderIdempotencyKey, "before").status)
	l.platform.SetFault(plat.NewFault(plat.ModeDown))
	for i := range 6 {
		request := fmt.Sprint("away", i)
		ticket := l.ticket(t, l.targets[i%3], depositPath, pokladna, request)
		for try := range 3 {
			got := l.deposit(t.Context(), l.targets[(i+try)%3], ticket)
			require.Equal(t, http.StatusOK, got.status, got.body)
			require.Equal(t, wholeDeposit(request), got.body)
		}
		require.Equal(t, 1, l.ledger.Request(request).Runs)
	}
	got := l.deposit(t.Context(), l.targets[1], uriOf(depositPath, "before"), wire.HeaderIdempotencyKey, "before")
	require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
	require.Equal(t, call.OutcomeUnknown, got.outcome)
	require.NotEmpty(t, got.header.Get(wire.HeaderRetryAfter))

	l.platform.SetFault(plat.NewFault(plat.ModeNone))
	require.Eventually(t, func() bool {
		return l.deposit(t.Context(), l.targets[1], uriOf(depositPath, "before"), wire.HeaderIdempotencyKey, "before").status == http.StatusOK
	}, linePatience, 50*time.Millisecond)
	require.Equal(t, 1, l.ledger.KeyRuns("before"))
}

// TestPausedHomeRunsOnceWhenItWakes: copies from several entries wait in its sockets.
func TestPausedHomeRunsOnceWhenItWakes(t *testing.T) {
	l := newOnce(t, time.Millisecond)
	first := l.deposit(t.Context(), l.targets[0], l.ticket(t, l.targets[0], depositPath, pokladna, "first"))
	require.Equal(t, http.StatusOK, first.status, first.body)
	ticket := l.ticket(t, l.targets[0], depositPath, pokladna, "paused")
	home := l.homeOfURL(t, ticket)
	require.NoError(t, home.node.Pause())
	entry := other(l, home)
	for range 3 {
		got := l.deposit(t.Context(), entry, ticket, wire.HeaderTimeout, "300ms")
		require.Equal(t, call.OutcomeUnknown, got.outcome, got.body)
	}
	require.Zero(t, l.ledger.Request("paused").Runs)

	require.NoError(t, home.node.Resume())
	require.Eventually(t, func() bool {
		got := l.deposit(t.Context(), entry, ticket)

		return got.status == http.StatusOK && got.body == wholeDeposit("paused")
	}, linePatience, 20*time.Millisecond)
	require.Equal(t, 1, l.ledger.Request("paused").Runs)
}

// TestKilledHomeLeavesTheOutcomeUnknownForEver: the call was running, and no other node may run it.
func TestKilledHomeLeavesTheOutcomeUnknownForEver(t *testing.T) {
	l := newOnce(t, 500*time.Millisecond)
	ticket := l.ticket(t, l.targets[0], depositPath, pokladna, "killed")
	home := l.homeOfURL(t, ticket)
	entry := other(l, home)
	done := make(chan reply, 1)
	go func() { done <- l.deposit(context.WithoutCancel(t.Context()), entry, ticket, wire.HeaderTimeout, "1s") }()
	require.Eventually(t, func() bool { return l.ledger.Request("killed").Runs == 1 }, linePatience, linePoll)
	require.NoError(t, home.node.Kill())
	require.Equal(t, call.OutcomeUnknown, (<-done).outcome)
	require.Equal(t, call.OutcomeUnknown, l.deposit(t.Context(), entry, ticket).outcome)

	home.restart(t)
	for _, target := range l.targets {
		got := l.deposit(t.Context(), target, ticket)
		require.Equal(t, call.OutcomeUnknown, got.outcome, got.body)
	}
	require.Equal(t, 1, l.ledger.Request("killed").Runs)
}

// TestRecordedAnswerOutlivesItsHome: a home that stops in order leaves its answers in the table.
func TestRecordedAnswerOutlivesItsHome(t *testing.T) {
	l := newOnce(t, time.Millisecond)
	ticket := l.ticket(t, l.targets[0], depositPath, pokladna, "kept")
	got := l.deposit(t.Context(), l.targets[0], ticket)
	require.Equal(t, http.StatusOK, got.status, got.body)
	home := l.homeOf(t, got.header)
	require.NoError(t, home.node.Terminate())
	ctx, cancel := context.WithTimeout(t.Context(), linePatience)
	defer cancel()
	require.NoError(t, home.node.Wait(ctx))

	for _, target := range l.targets {
		if target == home {
			continue
		}
		again := l.deposit(t.Context(), target, ticket)
		require.Equal(t, http.StatusOK, again.status, again.body)
		require.Equal(t, wholeDeposit("kept"), again.body)
	}
	home.restart(t)
	again := l.deposit(t.Context(), home, ticket)
	require.Equal(t, http.StatusOK, again.status, again.body)
	require.Equal(t, 1, l.ledger.Request("kept").Runs)
}

// TestKeyMovesOnFromAHomeThatRefuses: the refused operation is retired before the key gets another one.
func TestKeyMovesOnFromAHomeThatRefuses(t *testing.T) {
	l := newOnce(t, 5*time.Millisecond)
	for _, target := range l.targets[:2] {
		target.backend.Change(func(b *fake.Behaviour) { b.Slots, b.Waiting = 0, 0 })
	}
	const keys = 10
	var group sync.WaitGroup
	for i := range keys * len(l.targets) {
		key := fmt.Sprint("moved", i%keys)
		group.Go(func() {
			assert.EventuallyWithT(t, func(c *assert.CollectT) {
				got := l.deposit(t.Context(), l.targets[i/keys], uriOf(depositPath, key), wire.HeaderIdempotencyKey, key)
				assert.Equal(c, http.StatusOK, got.status, got.body)
				assert.Equal(c, wholeDeposit(key), got.body)
			}, linePatience, linePoll)
		})
	}
	group.Wait()
	for i := range keys {
		require.Equal(t, 1, l.ledger.KeyRuns(fmt.Sprint("moved", i)))
	}
}

// homeOfURL returns the target that the ticket in a URL names.
func (l *line) homeOfURL(t *testing.T, location string) *lineTarget {
	t.Helper()
	parsed, err := url.Parse(location)
	require.NoError(t, err)

	return l.homeOf(t, http.Header{wire.HeaderTicket: {parsed.Query().Get(wire.QueryTicket)}})
}

// BenchmarkDeposit measures one deposit by ticket, by key, and by ticket with the table away, one after the other.
func BenchmarkDeposit(b *testing.B) {
	ways := map[string]func(l *line, request string) reply{
		"ticket": func(l *line, request string) reply {
			return l.deposit(b.Context(), l.targets[0], l.ticket(b, l.targets[0], depositPath, pokladna, request))
		},
		"key": func(l *line, request string) reply {
			return l.deposit(b.Context(), l.targets[0], uriOf(depositPath, request), wire.HeaderIdempotencyKey, request)
		},
	}
	for _, way := range []struct {
		name, by string
		mode     plat.Mode
	}{{"ticket", "ticket", plat.ModeNone}, {"key", "key", plat.ModeNone}, {"ticketTableAway", "ticket", plat.ModeDown}} {
		b.Run(way.name, func(b *testing.B) {
			l := newOnce(b, time.Millisecond)
			l.platform.SetFault(plat.NewFault(way.mode))
			took := make([]time.Duration, 0, b.N)
			for i := 0; b.Loop(); i++ {
				began := time.Now()
				got := ways[way.by](l, fmt.Sprint(way.name, i))
				took = append(took, time.Since(began))
				require.Equal(b, http.StatusOK, got.status, got.body)
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
	}
}
