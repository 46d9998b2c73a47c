package procs_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/exec"
	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/fault"
	"github.com/pistachiotack/pistachiotack/internal/peers"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// peer speaks to an executing node as another node would.
type peer struct {
	l       *line
	home    *lineTarget
	control *peers.Service
	self    exec.Identity
}

func newPeer(t *testing.T, l *line, home *lineTarget) *peer {
	t.Helper()
	control := peers.New(peers.Options{Listen: "127.0.0.1:0"})
	_, err := control.Start(t.Context(), nil)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, control.Stop(context.Background())) })
	p := &peer{l: l, home: home, control: control}
	p.ask(t, exec.MethodIdentify, exec.IdentifyArgs{}, &p.self)

	return p
}

func (p *peer) ask(t *testing.T, method string, args, reply any) {
	t.Helper()
	require.NoError(t, p.control.Call(t.Context(), p.home.node.Settings().Listen.Control, method, args, reply))
}

func (p *peer) envelope(op call.ID, attempt int) call.Envelope {
	return call.Envelope{
		Op: op, Root: "root", Service: "keuring", Attempt: attempt, Depth: 1, Credits: 1, Rank: call.ClassNormal.MinRank(),
		Remaining: 10 * time.Second, Issued: time.Now(), Incarnation: p.self.Incarnation,
	}
}

func (p *peer) question(t *testing.T, method string, envelope call.Envelope) exec.Verdict {
	t.Helper()
	attempt, refusal := exec.AttemptOf(envelope)
	require.Nil(t, refusal)
	var verdict exec.Verdict
	p.ask(t, method, exec.ResolveArgs{Attempt: attempt}, &verdict)

	return verdict
}

// send makes one copy of the attempt arrive.
func (p *peer) send(ctx context.Context, envelope call.Envelope, method, uri string) reply {
	text, err := json.Marshal(envelope)
	if err != nil {
		return reply{err: err}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+p.home.node.Settings().Listen.Peers+uri, http.NoBody)
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set(wire.HeaderEnvelope, string(text))
	response, err := p.l.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)

	return reply{status: response.StatusCode, outcome: call.Outcome(response.Header.Get(wire.HeaderOutcome)), body: string(body), err: err}
}

// TestLateAndRepeatedCopiesAreRefused sends copies that no client of ours would send.
func TestLateAndRepeatedCopiesAreRefused(t *testing.T) {
	l, _, home := newPair(t)
	p := newPeer(t, l, home)
	note := func(request string) (string, string) { return http.MethodPost, uriOf("/notes", request) }

	fenced := p.envelope("fenced", 1)
	require.Equal(t, call.OutcomeNotRun, p.question(t, exec.MethodResolve, fenced).Outcome)
	method, uri := note("fenced")
	require.Equal(t, call.OutcomeNotRun, p.send(t.Context(), fenced, method, uri).outcome)
	require.Zero(t, l.ledger.Request("fenced").Arrivals)

	repeated := p.envelope("repeated", 1)
	method, uri = note("repeated")
	require.Equal(t, http.StatusOK, p.send(t.Context(), repeated, method, uri).status)
	require.Equal(t, call.OutcomeUnknown, p.send(t.Context(), repeated, method, uri).outcome)
	require.Equal(t, call.OutcomeUnknown, p.question(t, exec.MethodResolve, repeated).Outcome)
	require.Equal(t, 1, l.ledger.Request("repeated").Arrivals)

	late := p.envelope("late", 1)
	late.Issued = late.Issued.Add(-time.Minute)
	method, uri = note("late")
	require.Equal(t, call.OutcomeUnknown, p.send(t.Context(), late, method, uri).outcome)

	former := p.envelope("former", 1)
	former.Incarnation--
	require.Equal(t, call.OutcomeUnknown, p.question(t, exec.MethodResolve, former).Outcome)
	require.Equal(t, call.OutcomeNotRun, p.send(t.Context(), former, method, uri).outcome)
	require.Zero(t, l.ledger.Request("late").Arrivals)
}

// TestHangingUpCancelsOverASilentConnection: the closed connection tells nobody, the message does.
func TestHangingUpCancelsOverASilentConnection(t *testing.T) {
	l, entry, home := newPair(t)
	require.Equal(t, http.StatusOK, l.call(t.Context(), entry, http.MethodPost, uriOf("/notes", "warm"), wire.HeaderService, "keuring").status)
	home.backend.Change(func(b *fake.Behaviour) { b.Silent = true })
	ctx, hangUp := context.WithCancel(t.Context())
	done := make(chan reply, 1)
	go func() {
		done <- l.call(ctx, entry, http.MethodGet, uriOf("/slow", "left"), wire.HeaderService, "keuring")
	}()
	require.Eventually(t, func() bool { return l.ledger.Request("left").Arrivals == 1 }, linePatience, linePoll)
	home.link.SilenceOpen()
	hangUp()
	require.Error(t, (<-done).err)
	require.Eventually(t, func() bool { return l.ledger.Totals().Cancelled == 1 }, 4*time.Second, linePoll, "before the deadline of 5 s")
}

// TestOnceCallOfABackendServerRunsOnceWhenItsAnswerIsLost: the hop has neither ticket nor key.
func TestOnceCallOfABackendServerRunsOnceWhenItsAnswerIsLost(t *testing.T) {
	hop := fake.Hop{Service: pokladna, Method: http.MethodPost, Path: depositPath, Bytes: depositBytes}
	l := newLine(t, lineOptions{tree: onceTree, services: []lineService{
		{name: "vitrina", targets: 1, routes: []fake.Route{{Method: http.MethodPost, Prefix: "/orders", Work: time.Millisecond, Bytes: 64, Hops: []fake.Hop{hop}}}},
		{name: pokladna, targets: 2, routes: []fake.Route{{Method: http.MethodPost, Prefix: depositPath, Work: time.Millisecond, Bytes: depositBytes}}},
	}})
	for _, target := range l.of(pokladna) {
		target.link.Set(fault.Fault{LoseAnswers: true})
	}
	got := l.call(t.Context(), l.targets[0], http.MethodPost, uriOf("/orders", "order"), wire.HeaderService, "vitrina")
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.Equal(t, 2, l.ledger.Request("order").Runs, "the order and one deposit")
}

const fanTree = `
places = ["hal-a"]
services = ["vitrina", "kalendar"]
deadline = "10s"
[service.vitrina]
idempotent = true
[service.kalendar]
idempotent = true
`

// TestParallelCallsShareTheCredits: a graph that is wide at first, then failing, under the default policy.
func TestParallelCallsShareTheCredits(t *testing.T) {
	const width, attempts = 12, 64
	var l *line
	fan := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		statuses := make([]int, width)
		var group sync.WaitGroup
		for i := range statuses {
			group.Go(func() { statuses[i] = l.hop(request, l.targets[0].node.Settings().Listen.Backend, i) })
		}
		group.Wait()
		if slices.Min(statuses) != http.StatusOK || slices.Max(statuses) != http.StatusOK {
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	l = newLine(t, lineOptions{tree: fanTree, services: []lineService{
		{name: "vitrina", targets: 1, handler: fan},
		{name: "kalendar", targets: 2, routes: []fake.Route{{Method: http.MethodGet, Prefix: "/", Work: 5 * time.Millisecond, Bytes: 64}}},
	}})
	for round := range 3 {
		request := fmt.Sprint("wide", round)
		got := l.call(t.Context(), l.targets[1], http.MethodGet, uriOf("/", request), wire.HeaderService, "vitrina")
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Equal(t, width, l.ledger.Request(request).Arrivals)
	}
	behave(l, func(b *fake.Behaviour) { b.FailShare = 1 })
	l.call(t.Context(), l.targets[1], http.MethodGet, uriOf("/", "failing"), wire.HeaderService, "vitrina")
	require.LessOrEqual(t, l.ledger.Request("failing").Arrivals, attempts)
}

// hop makes one of the parallel calls for the request.
func (l *line) hop(request *http.Request, node string, number int) int {
	out, err := http.NewRequestWithContext(request.Context(), http.MethodGet, "http://"+node+fmt.Sprintf("/%d?%s&hop=1", number, request.URL.RawQuery), http.NoBody)
	if err != nil {
		return 0
	}
	out.Header.Set(wire.HeaderService, "kalendar")
	out.Header.Set(wire.HeaderParent, request.Header.Get(wire.HeaderParent))
	response, err := l.client.Do(out)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)

	return response.StatusCode
}
