package procs_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/fault"
	"github.com/pistachiotack/pistachiotack/internal/wire"
)

const (
	chainAttempts = 20
	chainRequests = 24
	chainCallers  = 8
)

const chainTree = `
places = ["hal-a"]
services = ["a", "b", "c", "d", "e", "f"]
attempts = 20
retries = 6
retryRatio = 0.5
retryBackoff = "2ms"
progress = "60ms"
deadline = "%s"
`

var chainNames = []string{"a", "b", "c", "d", "e", "f"}

// newChain starts six services, each of which calls the next before its own work.
func newChain(t *testing.T, targets int, deadline time.Duration) *line {
	t.Helper()
	options := lineOptions{tree: fmt.Sprintf(chainTree, deadline)}
	for _, name := range chainNames {
		options.tree += "[service." + name + "]\nidempotent = true\n"
	}
	for i, name := range chainNames {
		route := fake.Route{Method: http.MethodGet, Prefix: "/", Work: time.Millisecond, Bytes: 64}
		if i+1 < len(chainNames) {
			route.Hops = []fake.Hop{{Service: chainNames[i+1], Method: http.MethodGet, Path: "/", Bytes: 64}}
		}
		options.services = append(options.services, lineService{name: name, targets: targets, routes: []fake.Route{route}})
	}

	return newLine(t, options)
}

// chainFault is a way in which every hop of the chain fails.
type chainFault struct {
	name  string
	begin func(l *line)
	end   func(l *line)
	// again is repeated while the requests run, nil for nothing.
	again func(l *line)
}

func behave(l *line, change func(*fake.Behaviour)) {
	for _, target := range l.targets {
		target.backend.Change(change)
	}
}

func links(l *line, change func(*fault.Proxy)) {
	for _, target := range l.targets {
		change(target.link)
	}
}

func setLinks(f fault.Fault) func(*line) {
	return func(l *line) { links(l, func(p *fault.Proxy) { p.Set(f) }) }
}

func chainFaults() []chainFault {
	healthy := setLinks(fault.Fault{})

	return []chainFault{
		{
			name: "leafFails",
			begin: func(l *line) {
				for _, target := range l.of("f") {
					target.backend.Change(func(b *fake.Behaviour) { b.FailShare = 1 })
				}
			},
			end: func(l *line) { behave(l, func(b *fake.Behaviour) { b.FailShare = 0 }) },
		},
		{
			name:  "serversFail",
			begin: func(l *line) { behave(l, func(b *fake.Behaviour) { b.FailShare = 0.6 }) },
			end:   func(l *line) { behave(l, func(b *fake.Behaviour) { b.FailShare = 0 }) },
		},
		{
			name:  "serversShed",
			begin: func(l *line) { behave(l, func(b *fake.Behaviour) { b.Slots, b.Waiting = 1, 0 }) },
			end:   func(l *line) { behave(l, func(b *fake.Behaviour) { b.Slots, b.Waiting = lineSlots, lineSlots }) },
		},
		{name: "answersLost", begin: setLinks(fault.Fault{LoseAnswers: true}), end: healthy},
		{name: "answersCut", begin: setLinks(fault.Fault{CutAfter: 150}), end: healthy},
		{name: "linksReset", again: func(l *line) { links(l, func(p *fault.Proxy) { p.ResetOpen() }) }},
		{name: "linksSilent", again: func(l *line) { links(l, func(p *fault.Proxy) { p.SilenceOpen() }) }},
	}
}

// TestChainOfSixNeverExceedsItsAttempts counts at the backend servers while every hop fails.
func TestChainOfSixNeverExceedsItsAttempts(t *testing.T) {
	l := newChain(t, 2, 1500*time.Millisecond)
	require.Equal(t, http.StatusOK, l.call(t.Context(), l.targets[0], http.MethodGet, uriOf("/", "healthy"), wire.HeaderService, "a").status)
	require.Equal(t, len(chainNames), l.ledger.Request("healthy").Arrivals)
	for _, f := range chainFaults() {
		t.Run(f.name, func(t *testing.T) {
			if f.begin != nil {
				f.begin(l)
			}
			failed, most, total := l.storm(t, f.name, f.again)
			if f.end != nil {
				f.end(l)
			}
			t.Logf("%d of %d requests failed, at most %d attempts, %.1f in the mean", failed, chainRequests, most, float64(total)/chainRequests)
			require.LessOrEqual(t, most, chainAttempts)
			require.Positive(t, failed, "the fault must have been felt")
		})
	}
}

// storm makes the requests and returns how many failed, and the most and the sum of attempts.
func (l *line) storm(t *testing.T, name string, again func(*line)) (failed, most, total int) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for again != nil && ctx.Err() == nil {
			again(l)
			time.Sleep(3 * time.Millisecond)
		}
	}()
	replies := make([]reply, chainRequests)
	var group sync.WaitGroup
	for caller := range chainCallers {
		group.Go(func() {
			for i := caller; i < chainRequests; i += chainCallers {
				replies[i] = l.call(t.Context(), l.targets[i%len(l.targets)], http.MethodGet, uriOf("/", fmt.Sprint(name, i)), wire.HeaderService, "a")
			}
		})
	}
	group.Wait()
	cancel()
	<-stopped
	for i, r := range replies {
		if r.status != http.StatusOK {
			failed++
		}
		arrivals := l.ledger.Request(fmt.Sprint(name, i)).Arrivals
		most = max(most, arrivals)
		total += arrivals
	}

	return failed, most, total
}

// TestHangingUpCancelsTheWholeChain counts the executions that the backend servers gave up.
func TestHangingUpCancelsTheWholeChain(t *testing.T) {
	l := newChain(t, 1, time.Minute)
	l.of("f")[0].backend.Change(func(b *fake.Behaviour) { b.Silent = true })
	ctx, hangUp := context.WithCancel(t.Context())
	done := make(chan reply, 1)
	go func() { done <- l.call(ctx, l.targets[0], http.MethodGet, uriOf("/", "left"), wire.HeaderService, "a") }()
	require.Eventually(t, func() bool { return l.ledger.Request("left").Arrivals == len(chainNames) }, linePatience, linePoll)

	hangUp()
	require.Error(t, (<-done).err)
	require.Eventually(t, func() bool { return l.ledger.Totals().Cancelled == len(chainNames) }, linePatience, linePoll)
}
