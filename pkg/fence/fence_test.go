package fence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/fence"
)

var limits = fence.Limits{
	AttemptRetention: 5 * time.Second, MinAttemptRetention: time.Second, OnceRetention: time.Minute,
	MaxAttemptRecords: 60, MaxOnceOperations: 40, MaxResponseBytes: 200,
}

type attemptKey struct {
	op     call.ID
	number int
}

func keyOf(a fence.Attempt) attemptKey {
	return attemptKey{op: a.Op, number: a.Number}
}

// model is an executing node that may restart, and a network that loses, duplicates and reorders attempts.
type model struct {
	limits      fence.Limits
	now         time.Time
	incarnation uint64
	node        *fence.Fence[string]
	sent        []fence.Attempt
	inTransit   []fence.Attempt
	queued      []fence.Attempt
	running     []fence.Attempt
	latest      map[call.ID]fence.Attempt
	// runs and runsOnce count the starts; notRun and retired record what the node promised not to run.
	runs     map[attemptKey]int
	runsOnce map[call.ID]int
	notRun   map[attemptKey]bool
	retired  map[call.ID]bool
}

func newModel(t *rapid.T) *model {
	m := &model{
		limits: limits,
		now:    time.Unix(1_000_000, 0), latest: map[call.ID]fence.Attempt{}, runs: map[attemptKey]int{},
		runsOnce: map[call.ID]int{}, notRun: map[attemptKey]bool{}, retired: map[call.ID]bool{},
	}
	m.limits.MaxAttemptRecords = rapid.SampledFrom([]int{3, 60}).Draw(t, "records")
	m.limits.MaxOnceOperations = rapid.SampledFrom([]int{1, 40}).Draw(t, "operations")
	m.limits.MaxResponseBytes = rapid.SampledFrom([]int64{0, 200}).Draw(t, "answerBytes")
	m.restart(nil)

	return m
}

func (m *model) restart(*rapid.T) {
	m.incarnation++
	m.node = fence.New[string](m.incarnation, m.limits)
	m.queued, m.running = nil, nil
}

// send creates a new attempt of an operation. All attempts of a once operation name the incarnation of the first one.
func (m *model) send(t *rapid.T) {
	op := call.ID(fmt.Sprint("op", rapid.IntRange(0, 5).Draw(t, "op")))
	a, found := m.latest[op]
	if !found {
		a = fence.Attempt{Op: op, Once: rapid.Bool().Draw(t, "once"), Opened: m.now, Incarnation: m.incarnation}
	}
	a.Number++
	a.Issued = m.now.Add(time.Duration(rapid.IntRange(-2, 2).Draw(t, "skew")) * time.Second)
	if !a.Once {
		a.Incarnation = m.incarnation
	}
	m.latest[op] = a
	m.sent = append(m.sent, a)
	for range rapid.IntRange(0, 2).Draw(t, "copies") {
		m.inTransit = append(m.inTransit, a)
	}
}

func draw(t *rapid.T, from *[]fence.Attempt, remove bool) (fence.Attempt, bool) {
	if len(*from) == 0 {
		return fence.Attempt{}, false
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, "which")
	a := (*from)[i]
	if remove {
		*from = append((*from)[:i:i], (*from)[i+1:]...)
	}

	return a, true
}

func (m *model) recordOutcome(a fence.Attempt, v fence.Verdict[string]) {
	if v.Outcome == call.OutcomeNotRun {
		m.notRun[keyOf(a)] = true
	}
}

func (m *model) arrive(t *rapid.T) {
	a, ok := draw(t, &m.inTransit, true)
	if !ok {
		return
	}
	v := m.node.Admit(m.now, a)
	m.recordOutcome(a, v)
	if v.Admitted() {
		m.queued = append(m.queued, a)
	}
}

func (m *model) start(t *rapid.T) {
	a, ok := draw(t, &m.queued, true)
	if !ok || !m.node.Start(a) {
		return
	}
	m.runs[keyOf(a)]++
	if a.Once {
		m.runsOnce[a.Op]++
	}
	m.running = append(m.running, a)
}

func (m *model) refuse(t *rapid.T) {
	if a, ok := draw(t, &m.queued, true); ok {
		m.node.Refuse(a)
		m.notRun[keyOf(a)] = true
	}
}

func (m *model) finish(t *rapid.T) {
	if a, ok := draw(t, &m.running, true); ok {
		response := string(a.Op)
		m.node.Finish(a, &response, int64(len(response)))
	}
}

func (m *model) resolve(t *rapid.T) {
	if a, ok := draw(t, &m.sent, false); ok {
		m.recordOutcome(a, m.node.Resolve(m.now, a))
	}
}

func (m *model) cancel(t *rapid.T) {
	if a, ok := draw(t, &m.sent, false); ok {
		m.recordOutcome(a, m.node.Cancel(m.now, a))
	}
}

func (m *model) retire(t *rapid.T) {
	a, ok := draw(t, &m.sent, false)
	if ok && m.node.Retire(m.now, a).Outcome == call.OutcomeNotRun {
		m.retired[a.Op] = true
	}
}

func (m *model) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 300, 2500, 6000, 70_000, -3000}).Draw(t, "ms")) * time.Millisecond)
}

func (m *model) check(t *rapid.T) {
	for k, n := range m.runs {
		require.LessOrEqual(t, n, 1, "attempt %v ran more than once", k)
		require.False(t, m.notRun[k], "attempt %v ran, but was reported as not run", k)
	}
	for op, n := range m.runsOnce {
		require.LessOrEqual(t, n, 1, "once operation %s ran more than once", op)
		require.False(t, m.retired[op], "once operation %s ran, but was retired", op)
	}
}

func TestNotRunAndOnceHoldInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"send": m.send, "arrive": m.arrive, "arriveToo": m.arrive, "start": m.start, "startToo": m.start,
			"finish": m.finish, "refuse": m.refuse, "resolve": m.resolve, "cancel": m.cancel, "retire": m.retire,
			"wait": m.wait, "widen": func(t *rapid.T) {
				m.node.ExtendRetention(m.now, time.Duration(rapid.IntRange(1, 5).Draw(t, "minutes"))*time.Minute)
			}, "restart": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
					m.restart(t)
				}
			},
			"": m.check,
		})
	})
}

func attempt(number int, once bool, at time.Time) fence.Attempt {
	return fence.Attempt{Op: "op", Number: number, Issued: at, Once: once, Opened: at, Incarnation: 7}
}

func TestResolveFencesAnUnseenAttempt(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fence.New[string](7, limits)
	a := attempt(1, false, now)
	require.Equal(t, call.ReasonFenced, f.Resolve(now, a).Reason)
	require.Equal(t, call.ReasonDuplicate, f.Resolve(now, a).Reason)

	late := f.Admit(now, a)
	require.False(t, late.Admitted())
	require.Equal(t, call.OutcomeNotRun, late.Outcome)
	require.True(t, f.Admit(now, attempt(2, false, now)).Admitted())
}

func TestOnceOperationKeepsItsResponseForLaterAttempts(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fence.New[string](7, limits)
	first, second := attempt(1, true, now), attempt(2, true, now)
	require.True(t, f.Admit(now, first).Admitted())
	require.True(t, f.Admit(now, second).InProgress())
	require.True(t, f.Start(first))
	require.Equal(t, fence.StateRunning, f.Resolve(now, second).State)

	response := "signed"
	f.Finish(first, &response, 6)
	v := f.Admit(now.Add(30*time.Second), attempt(3, true, now))
	require.Equal(t, call.OutcomeRan, v.Outcome)
	require.Equal(t, "signed", *v.Answer)
}

func TestAttemptOlderThanTheRetentionIsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fence.New[string](7, limits)
	late := now.Add(limits.OnceRetention + time.Second)

	v := f.Admit(late, attempt(1, false, now))
	require.Equal(t, call.ReasonStale, v.Reason)

	ticket := attempt(2, true, now)
	ticket.Issued = late
	v = f.Admit(late, ticket)
	require.Equal(t, call.ReasonTicketExpired, v.Reason)
	require.Equal(t, call.OutcomeUnknown, v.Outcome)
}

func TestExtendRetentionDoesNotReadmitExpiredOperations(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fence.New[string](7, limits)
	first := attempt(1, true, now)
	require.True(t, f.Admit(now, first).Admitted())
	require.True(t, f.Start(first))
	f.Finish(first, nil, 0)

	late := now.Add(2 * limits.OnceRetention)
	f.ExtendRetention(late, 10*limits.OnceRetention)
	again := attempt(2, true, now)
	again.Issued = late
	require.Equal(t, call.ReasonTicketExpired, f.Admit(late, again).Reason)

	newer := attempt(1, true, late)
	require.True(t, f.Admit(late, newer).Admitted())
	require.True(t, f.Start(newer))
	response := "kept"
	f.Finish(newer, &response, 4)
	later := late.Add(5 * limits.OnceRetention)
	repeated := attempt(2, true, late)
	repeated.Issued = later
	require.Equal(t, &response, f.Admit(later, repeated).Answer)
}

func TestOldestResponsesAreDroppedBeforeOperations(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fence.New[string](7, limits)
	response := "signed"
	for i := range limits.MaxOnceOperations {
		a := fence.Attempt{Op: call.ID(fmt.Sprint(i)), Number: 1, Issued: now, Once: true, Opened: now, Incarnation: 7}
		require.True(t, f.Admit(now, a).Admitted())
		require.True(t, f.Start(a))
		f.Finish(a, &response, limits.MaxResponseBytes/10)
	}
	kept := 0
	for i := range limits.MaxOnceOperations {
		v := f.Admit(now, fence.Attempt{Op: call.ID(fmt.Sprint(i)), Number: 2, Issued: now, Once: true, Opened: now, Incarnation: 7})
		require.Equal(t, fence.StateDone, v.State)
		if v.Answer != nil {
			kept++
		}
	}
	require.Equal(t, 10, kept)

	v := f.Admit(now, attempt(1, true, now))
	require.Equal(t, call.ReasonBufferFull, v.Reason)
	require.Equal(t, call.OutcomeNotRun, v.Outcome)
	require.True(t, f.Admit(now, attempt(2, false, now)).Admitted())
}

func TestFullRecordsAreEvictedEarlyAndOlderAttemptsRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fence.New[string](7, limits)
	for i := range 6 * limits.MaxAttemptRecords {
		now = now.Add(2 * time.Second / time.Duration(limits.MaxAttemptRecords))
		a := attempt(i, false, now)
		require.True(t, f.Admit(now, a).Admitted(), "attempt %d", i)
		require.True(t, f.Start(a))
		f.Finish(a, nil, 0)
	}
	require.Equal(t, call.ReasonStale, f.Admit(now, attempt(-1, false, now.Add(-4*time.Second))).Reason)
	require.Equal(t, call.ReasonStale, f.Resolve(now, attempt(-2, false, now.Add(-4*time.Second))).Reason)
	require.Equal(t, call.OutcomeNotRun, f.Resolve(now, attempt(-3, false, now)).Outcome)
}

func TestOtherIncarnationReportsUnknown(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fence.New[string](8, limits)
	for _, once := range []bool{true, false} {
		a := attempt(1, once, now)
		require.Equal(t, call.ReasonWrongIncarnation, f.Admit(now, a).Reason)
		require.Equal(t, call.OutcomeUnknown, f.Resolve(now, a).Outcome)
	}
	unpinned := attempt(1, false, now)
	unpinned.Incarnation = 0
	require.Equal(t, call.OutcomeUnknown, f.Resolve(now, unpinned).Outcome)
	require.True(t, f.Admit(now, unpinned).Admitted())
}

func TestRecordsAreBoundedAndAttemptsRefusedWhenFull(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fence.New[string](7, limits)
	outcomes := map[call.Outcome]int{}
	admitted := 0
	for i := range 10 * limits.MaxAttemptRecords {
		v := f.Admit(now, attempt(i, false, now))
		if v.Admitted() {
			admitted++
			continue
		}
		require.Equal(t, call.ReasonBufferFull, v.Reason)
		outcomes[v.Outcome]++
	}
	require.Equal(t, limits.MaxAttemptRecords, admitted)
	require.Equal(t, 2*limits.MaxAttemptRecords, outcomes[call.OutcomeNotRun])
	require.Equal(t, 7*limits.MaxAttemptRecords, outcomes[call.OutcomeUnknown], "an unrecorded attempt must not be reported as not run")
}

func BenchmarkAttempt(b *testing.B) {
	now := time.Unix(1000, 0)
	f := fence.New[string](7, fence.DefaultLimits())
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(500 * time.Microsecond)
		a := attempt(i, false, now)
		f.Admit(now, a)
		f.Start(a)
		f.Finish(a, nil, 0)
	}
}
