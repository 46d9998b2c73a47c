package resume_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/demand"
	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/resume"
	"github.com/pistachiotack/pistachiotack/internal/rules"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/beat"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/rate"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
)

var errUnavailable = errors.New("unavailable")

// fakeService implements kernel.Service for the fakes that embed it.
type fakeService struct{ name string }

func (s fakeService) String() string { return s.name }

func (fakeService) Start(context.Context, *kernel.Kernel) (<-chan error, error) {
	return make(chan error), nil
}

func (fakeService) Stop(context.Context) error { return nil }

// fakeTable keeps rows in memory, and can be made unavailable.
type fakeTable struct {
	fakeService
	mu          sync.Mutex
	rows        map[string][]byte
	unavailable bool
	// writes counts successful writes, calls all attempts.
	writes int
	calls  int
}

func (*fakeTable) Era() (uint64, <-chan struct{}) { return 0, nil }

func (s *fakeTable) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *fakeTable) written() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.writes
}

func (s *fakeTable) putCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.calls
}

func (s *fakeTable) Put(_ context.Context, key string, value []byte, _ string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return "", errUnavailable
	}
	s.writes++
	s.rows[key] = value

	return "", nil
}

func (s *fakeTable) List(_ context.Context, prefix, _ string) ([]store.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, errUnavailable
	}
	if value, found := s.rows[prefix]; found {
		return []store.Row{{Key: prefix, Value: value}}, nil
	}

	return nil, nil
}

// fakeGuard tracks a backend server; responder is the ID of the process that responds to status checks, empty for none.
type fakeGuard struct {
	fakeService
	mu        sync.Mutex
	server    *beat.Server
	responder string
	changed   chan struct{}
}

func (g *fakeGuard) handleHeartbeat(heartbeat beat.Heartbeat) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.server.HandleHeartbeat(time.Now(), heartbeat)
}

func (g *fakeGuard) stateRateLimit(limit rate.Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.server.HandleRateLimit("i-1", limit)
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

func (g *fakeGuard) state() beat.State {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.server.State()
}

func (g *fakeGuard) Snapshot(now time.Time) (beat.Snapshot, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.server.Snapshot(now)
}

func (g *fakeGuard) Restore(now time.Time, snapshot beat.Snapshot, alive bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.server.Restore(now, snapshot, alive)
}

func (g *fakeGuard) Check(context.Context) (beat.Health, error) {
	if g.responder == "" {
		return beat.Health{}, errUnavailable
	}

	return beat.Health{ID: g.responder}, nil
}

func (g *fakeGuard) Changed() <-chan struct{} { return g.changed }

// fakeHolder provides fixed routes.
type fakeHolder struct {
	fakeService
	routes *routes.Table
}

func (h *fakeHolder) Table() *routes.Table { return h.routes }

func (*fakeHolder) Revision() uint64 { return 1 }

func (*fakeHolder) Restore(rules.Past) {}

// fakeMembers is a fleet of one node.
type fakeMembers struct{ fakeService }

func (fakeMembers) All() []member.Entry { return make([]member.Entry, 1) }

// node is one run of a node, from its start to its stop.
type node struct {
	guard  *fakeGuard
	resume *resume.Resume
	stop   func()
}

func start(t *testing.T, rows *fakeTable, responder string) *node {
	t.Helper()
	table, err := routes.NewTable(1, nil)
	require.NoError(t, err)
	n := &node{
		guard:  &fakeGuard{fakeService: fakeService{"guard"}, server: beat.NewServer(beat.Options{Service: "logboek", Address: "a", Interval: time.Second}), responder: responder, changed: make(chan struct{}, 1)},
		resume: resume.New("node-1", "logboek", slog.New(slog.DiscardHandler)),
	}
	k := kernel.New(slog.New(slog.DiscardHandler))
	for _, s := range []kernel.Service{
		rows, &fakeHolder{fakeService{"holder"}, table.WithHealthPaths(map[string]string{"logboek": "/status"})}, &fakeDemand{fakeService: fakeService{demand.Name}}, fakeMembers{fakeService{"gossip"}}, n.guard, n.resume,
	} {
		require.NoError(t, k.Register(s))
	}
	started, err := k.Start(t.Context())
	require.NoError(t, err)
	n.stop = sync.OnceFunc(func() { _ = started.Stop(context.Background()) })
	t.Cleanup(n.stop)

	return n
}

// fakeDemand returns a different level of one service at each call.
type fakeDemand struct {
	fakeService
	level float64
}

func (m *fakeDemand) Snapshot(time.Time) demand.Snapshot {
	m.level = 1 - m.level

	return demand.Snapshot{Levels: map[string]float64{"alarm": m.level}}
}

func (*fakeDemand) Restore(time.Time, demand.Snapshot, time.Time) {}

func newTable() *fakeTable {
	return &fakeTable{fakeService: fakeService{store.Name}, rows: map[string][]byte{}}
}

func newHeartbeat(id string, draining bool) beat.Heartbeat {
	return beat.Heartbeat{ID: id, Service: "logboek", Address: "a", Sequence: 1, Slots: 8, Draining: draining}
}

func TestOnlyRespondingProcessIsRestored(t *testing.T) {
	for name, test := range map[string]struct {
		responder string
		state     beat.State
	}{
		"the same process": {"i-1", beat.StateReady},
		"another process":  {"i-2", beat.StateAbsent},
		"nothing":          {"", beat.StateAbsent},
	} {
		t.Run(name, func(t *testing.T) {
			rows := newTable()
			first := start(t, rows, "i-1")
			first.guard.handleHeartbeat(newHeartbeat("i-1", false))
			first.resume.Persist(t.Context())
			require.Eventually(t, func() bool { return rows.written() == 1 }, time.Second, time.Millisecond)
			first.stop()
			second := start(t, rows, test.responder)
			if test.state == beat.StateReady {
				require.Eventually(t, func() bool { return second.guard.state() == test.state }, time.Second, time.Millisecond)

				return
			}
			require.Never(t, func() bool { return second.guard.state() != test.state }, 200*time.Millisecond, 10*time.Millisecond)
		})
	}
}

func TestRowWithNumbersOutOfRangeIsNotRestored(t *testing.T) {
	for name, estimates := range map[string]string{
		"high level":     `{"levels":{"alarm":1e308}}`,
		"negative level": `{"levels":{"alarm":-1e308}}`,
		"many calls":     `{"needs":{"read":[{"service":"alarm","calls":1e308}]}}`,
		"negative calls": `{"needs":{"read":[{"service":"alarm","calls":-1}]}}`,
	} {
		t.Run(name, func(t *testing.T) {
			rows := newTable()
			rows.rows["backends/node-1"] = []byte(`{"id":"i-1","service":"logboek","address":"a","sequence":1,"slots":8,"demand":` + estimates + `}`)
			n := start(t, rows, "i-1")
			require.Never(t, func() bool { return n.guard.state() != beat.StateAbsent }, 200*time.Millisecond, 10*time.Millisecond)
		})
	}
}

func TestPersistWaitsUntilDrainingIsWritten(t *testing.T) {
	rows := newTable()
	n := start(t, rows, "i-1")
	n.guard.handleHeartbeat(newHeartbeat("i-1", true))
	n.resume.Persist(t.Context())
	require.Equal(t, 1, rows.written())
}

func TestPersistTimesOutWhenTableIsUnavailable(t *testing.T) {
	rows := newTable()
	n := start(t, rows, "i-1")
	rows.setUnavailable(true)
	n.guard.handleHeartbeat(newHeartbeat("i-1", true))
	startedAt := time.Now()
	n.resume.Persist(t.Context())
	require.Less(t, time.Since(startedAt), 800*time.Millisecond)
	require.Zero(t, rows.written())
	rows.setUnavailable(false)
	require.Eventually(t, func() bool { return rows.written() == 1 }, 5*time.Second, 10*time.Millisecond, "row written after the table is available again")
}

func TestUnchangedProcessIsWrittenOnce(t *testing.T) {
	rows := newTable()
	n := start(t, rows, "i-1")
	for sequence := range uint64(20) {
		heartbeat := newHeartbeat("i-1", false)
		heartbeat.Sequence = sequence + 1
		n.guard.handleHeartbeat(heartbeat)
		n.resume.Persist(t.Context())
		time.Sleep(2 * time.Millisecond)
	}
	require.Equal(t, 1, rows.written())
}

// Guards against adding load to a table that refuses writes during a surge: levels change all the time, so a failed write of levels
// must wait for the next regular check instead of the retry interval.
func TestFailedWriteOfLevelsIsNotRetriedAtOnce(t *testing.T) {
	rows := newTable()
	n := start(t, rows, "i-1")
	n.guard.handleHeartbeat(newHeartbeat("i-1", false))
	n.resume.Persist(t.Context())
	require.Eventually(t, func() bool { return rows.written() == 1 }, time.Second, time.Millisecond)
	rows.setUnavailable(true)
	require.Eventually(t, func() bool { return rows.putCalls() == 2 }, 10*time.Second, 10*time.Millisecond, "next regular check of levels")
	time.Sleep(2500 * time.Millisecond)
	require.Equal(t, 2, rows.putCalls())
}

// The limit that a server stated last must hold from the first call after a restart of its node.
func TestRateLimitSurvivesRestart(t *testing.T) {
	rows := newTable()
	first := start(t, rows, "i-1")
	first.guard.handleHeartbeat(newHeartbeat("i-1", false))
	first.resume.Persist(t.Context())
	require.Eventually(t, func() bool { return rows.written() == 1 }, time.Second, time.Millisecond)
	first.guard.stateRateLimit(rate.PerSecond(4))
	require.Eventually(t, func() bool { return rows.written() == 2 }, 5*time.Second, 10*time.Millisecond)
	first.guard.stateRateLimit(rate.PerSecond(4.5))
	require.Never(t, func() bool { return rows.written() > 2 }, 1500*time.Millisecond, 10*time.Millisecond, "a similar limit is not saved")
	first.stop()
	second := start(t, rows, "i-1")
	require.Eventually(t, func() bool { return second.guard.state() == beat.StateReady }, time.Second, time.Millisecond)
	snapshot, found := second.guard.Snapshot(time.Now())
	require.True(t, found)
	require.Equal(t, rate.PerSecond(4), snapshot.RateLimit)
}

// A server may leave while the write of its new rate limit is being delayed.
func TestLeavingIsWrittenDuringTheDelayOfARateLimit(t *testing.T) {
	for range 6 {
		rows := newTable()
		n := start(t, rows, "i-1")
		n.guard.handleHeartbeat(newHeartbeat("i-1", false))
		n.resume.Persist(t.Context())
		require.Eventually(t, func() bool { return rows.written() == 1 }, time.Second, time.Millisecond)
		n.guard.stateRateLimit(rate.PerSecond(4))
		time.Sleep(20 * time.Millisecond)
		draining := newHeartbeat("i-1", true)
		draining.Sequence = 2
		n.guard.handleHeartbeat(draining)
		startedAt := time.Now()
		n.resume.Persist(t.Context())
		require.Less(t, time.Since(startedAt), 200*time.Millisecond)
		require.GreaterOrEqual(t, rows.written(), 2)
		n.stop()
	}
}
