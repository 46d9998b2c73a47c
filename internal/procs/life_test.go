package procs_test

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/gossip"
	"github.com/pistachiotack/pistachiotack/internal/procs"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	lifeService = "keuring"
	lifePath    = "/inspections/1"
	lifeTree    = `places = ["hal-a"]
services = ["keuring"]
[service.keuring.kind.inspection]
method = "GET"
path = "/inspections/*"
idempotent = true
`
)

// marked counts the requests of each backend server, one of which may be marked.
type marked struct {
	mu       sync.Mutex
	arrivals map[string]int
	address  string
}

func newMarked() *marked {
	return &marked{arrivals: map[string]int{}}
}

// arrive counts a request, and reports whether it came to the marked server.
func (s *marked) arrive(r *http.Request) bool {
	address, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[address.String()]++

	return address.String() == s.address
}

func (s *marked) mark(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = address
}

func (s *marked) of(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.arrivals[address]
}

// leaving says on the answers of the marked backend server that it is leaving.
type leaving struct{ *marked }

func (s leaving) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.arrive(r) {
		w.Header().Set(wire.HeaderDraining, "true")
	}
	_, _ = io.WriteString(w, "inspected")
}

func (l *line) inspect(t *testing.T, entry *lineTarget) reply {
	t.Helper()
	got := l.call(t.Context(), entry, http.MethodGet, lifePath, wire.HeaderService, lifeService)
	require.NoError(t, got.err)

	return got
}

// stateSeenBy reads the state of a member on the status page of a node.
func stateSeenBy(t *testing.T, node *procs.Process, name string) member.State {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+node.Settings().Listen.Operators+gossip.PathStatus, http.NoBody)
	require.NoError(t, err)
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	var status gossip.Status
	require.NoError(t, json.NewDecoder(answer.Body).Decode(&status))
	for _, each := range status.Members {
		if each.ID == name {
			return each.State
		}
	}

	return ""
}

// TestBackendServerThatSaysItLeavesGetsNoNewWork lets one of two backend servers tell so on its answers.
func TestBackendServerThatSaysItLeavesGetsNoNewWork(t *testing.T) {
	servers := leaving{newMarked()}
	l := newLine(t, lineOptions{tree: lifeTree, services: []lineService{{name: lifeService, targets: 2, handler: servers}}})
	leaver, stayer := l.targets[0].node.Settings(), l.targets[1]
	servers.mark(leaver.Backend.Address)
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, l.inspect(t, stayer).status)

		return stateSeenBy(t, stayer.node, leaver.Name) == member.StateDraining
	}, linePatience, linePoll)

	before := servers.of(leaver.Backend.Address)
	const more = 50
	for range more {
		require.Equal(t, http.StatusOK, l.inspect(t, stayer).status)
	}
	require.Equal(t, before, servers.of(leaver.Backend.Address), "new work reached a server that is leaving")
	require.GreaterOrEqual(t, servers.of(stayer.node.Settings().Backend.Address), more)
}

// TestNodeWaitsForItsBackendServer starts a node first and its backend server after it.
func TestNodeWaitsForItsBackendServer(t *testing.T) {
	l := &line{ledger: fake.NewLedger(), client: fake.NewClient()}
	var address string
	settings := config.Node{Name: "keuring-0", DataCentre: "hal-a", Service: lifeService}
	require.NoError(t, procs.Reserve(host(0), &address, &settings.Listen.Callers, &settings.Listen.Operators))
	settings.Backend.Address = address
	binary, err := procs.Binary(t.Context())
	require.NoError(t, err)
	target := &lineTarget{}
	target.node, err = procs.StartProcess(t.Context(), binary, t.TempDir(), settings)
	require.NoError(t, err)
	t.Cleanup(func() { target.end(t) })
	require.NoError(t, target.node.Ready(t.Context()))
	require.Equal(t, call.OutcomeNotRun, l.inspect(t, target).outcome)

	_, clean, err := fake.New(t.Context(), fake.Options{
		Service: lifeService, Address: address, Ledger: l.ledger,
		Routes: []fake.Route{{Method: http.MethodGet, Prefix: "/inspections/", Bytes: 64}},
	}, fake.Behaviour{Slots: lineSlots, Waiting: lineSlots})
	require.NoError(t, err)
	t.Cleanup(clean)
	require.Eventually(t, func() bool { return l.inspect(t, target).status == http.StatusOK }, linePatience, linePoll)
	require.Positive(t, l.ledger.Totals().Arrivals)
}
