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
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/beat"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
)

var errAway = errors.New("away")

// service is what the kernel asks of each fake.
type service struct{ name string }

func (s service) String() string { return s.name }

func (service) Start(context.Context, *kernel.Kernel) (<-chan error, error) {
	return make(chan error), nil
}

func (service) Stop(context.Context) error { return nil }

// table keeps rows in memory, and may be away.
type table struct {
	service
	mu   sync.Mutex
	rows map[string][]byte
	away bool
	// puts counts the rows that were written, calls all attempts to.
	puts  int
	calls int
}

func (s *table) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *table) written() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.puts
}

func (s *table) asked() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.calls
}

func (s *table) Put(_ context.Context, key string, value []byte, _ string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return "", errAway
	}
	s.puts++
	s.rows[key] = value

	return "", nil
}

func (s *table) List(_ context.Context, prefix, _ string) ([]store.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, errAway
	}
	if value, found := s.rows[prefix]; found {
		return []store.Row{{Key: prefix, Value: value}}, nil
	}

	return nil, nil
}

// guard is a node's knowledge of a backend server, with the process that answers status checks.
type guard struct {
	service
	mu      sync.Mutex
	server  *beat.Server
	answers string
}

func (g *guard) hear(report beat.Heartbeat) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.server.HandleHeartbeat(time.Now(), report)
}

func (g *guard) state() beat.State {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.server.State()
}

func (g *guard) Past(now time.Time) (beat.Snapshot, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.server.Snapshot(now)
}

func (g *guard) Resume(now time.Time, past beat.Snapshot, alive bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.server.Restore(now, past, alive)
}

func (g *guard) Probe(context.Context, string) (string, error) {
	if g.answers == "" {
		return "", errAway
	}

	return g.answers, nil
}

// holder knows routes.
type holder struct {
	service
	routes *routes.Table
}

func (h *holder) Table() *routes.Table { return h.routes }

// node is one life of a node beside a backend server.
type node struct {
	guard  *guard
	resume *resume.Resume
	stop   func()
}

func start(t *testing.T, rows *table, answers string) *node {
	t.Helper()
	known, err := routes.NewTable(1, nil)
	require.NoError(t, err)
	n := &node{
		guard:  &guard{service: service{"guard"}, server: beat.NewServer(beat.Options{Service: "logboek", Address: "a", Interval: time.Second}), answers: answers},
		resume: resume.New("node-1", "logboek", slog.New(slog.DiscardHandler)),
	}
	k := kernel.New(slog.New(slog.DiscardHandler))
	for _, s := range []kernel.Service{
		rows, &holder{service{"holder"}, known.WithHealthPaths(map[string]string{"logboek": "/status"})}, &memory{service: service{demand.Name}}, n.guard, n.resume,
	} {
		require.NoError(t, k.Register(s))
	}
	started, err := k.Start(t.Context())
	require.NoError(t, err)
	n.stop = sync.OnceFunc(func() { _ = started.Stop(context.Background()) })
	t.Cleanup(n.stop)

	return n
}

// memory knows of one service whose level is another one at each look.
type memory struct {
	service
	level float64
}

func (m *memory) Snapshot(time.Time) demand.Snapshot {
	m.level++

	return demand.Snapshot{Levels: map[string]float64{"alarm": m.level}}
}

func (*memory) Restore(time.Time, demand.Snapshot, time.Time) {}

func newTable() *table { return &table{service: service{store.Name}, rows: map[string][]byte{}} }

func process(id string, draining bool) beat.Heartbeat {
	return beat.Heartbeat{ID: id, Service: "logboek", Address: "a", Sequence: 1, Slots: 8, Draining: draining}
}

func TestTheProcessThatStillAnswersIsResumed(t *testing.T) {
	for name, test := range map[string]struct {
		answers string
		state   beat.State
	}{
		"the same process": {"i-1", beat.StateReady},
		"another process":  {"i-2", beat.StateAbsent},
		"nothing":          {"", beat.StateAbsent},
	} {
		t.Run(name, func(t *testing.T) {
			rows := newTable()
			first := start(t, rows, "i-1")
			first.guard.hear(process("i-1", false))
			first.resume.Keep(t.Context())
			require.Eventually(t, func() bool { return rows.written() == 1 }, time.Second, time.Millisecond)
			first.stop()
			second := start(t, rows, test.answers)
			if test.state == beat.StateReady {
				require.Eventually(t, func() bool { return second.guard.state() == test.state }, time.Second, time.Millisecond)

				return
			}
			require.Never(t, func() bool { return second.guard.state() != test.state }, 200*time.Millisecond, 10*time.Millisecond)
		})
	}
}

func TestALeavingIsKeptBeforeKeepReturns(t *testing.T) {
	rows := newTable()
	n := start(t, rows, "i-1")
	n.guard.hear(process("i-1", true))
	n.resume.Keep(t.Context())
	require.Equal(t, 1, rows.written())
}

func TestALeavingWaitsForAnAwayTableOnlyBriefly(t *testing.T) {
	rows := newTable()
	n := start(t, rows, "i-1")
	rows.setAway(true)
	n.guard.hear(process("i-1", true))
	began := time.Now()
	n.resume.Keep(t.Context())
	require.Less(t, time.Since(began), 800*time.Millisecond)
	require.Zero(t, rows.written())
	rows.setAway(false)
	require.Eventually(t, func() bool { return rows.written() == 1 }, 5*time.Second, 10*time.Millisecond, "it is written once the table is back")
}

func TestAnUnchangedProcessIsWrittenOnce(t *testing.T) {
	rows := newTable()
	n := start(t, rows, "i-1")
	for sequence := range uint64(20) {
		report := process("i-1", false)
		report.Sequence = sequence + 1
		n.guard.hear(report)
		n.resume.Keep(t.Context())
		time.Sleep(2 * time.Millisecond)
	}
	require.Equal(t, 1, rows.written())
}

// The load is a surge while the table turns nodes away: each call to it costs, and levels are kept again before long.
func TestLevelsThatCannotBeKeptAreNotTriedAgainAtOnce(t *testing.T) {
	rows := newTable()
	n := start(t, rows, "i-1")
	n.guard.hear(process("i-1", false))
	n.resume.Keep(t.Context())
	require.Eventually(t, func() bool { return rows.written() == 1 }, time.Second, time.Millisecond)
	rows.setAway(true)
	require.Eventually(t, func() bool { return rows.asked() == 2 }, 10*time.Second, 10*time.Millisecond, "the next look at levels")
	time.Sleep(2500 * time.Millisecond)
	require.Equal(t, 2, rows.asked())
}
