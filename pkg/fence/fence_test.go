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

var limits = fence.Limits{AttemptRetention: 5 * time.Second, MinAttemptRetention: time.Second, OnceRetention: time.Minute, MaxAttemptRecords: 60, MaxOnceOperations: 40, MaxResponseBytes: 200}

type attemptKey struct {
	op     call.ID
	number int
}

func keyOf(a fence.Attempt) attemptKey {
	return attemptKey{op: a.Op, number: a.Number}
}

// world is one executing node, restarted at will, and a network that loses, repeats and reorders.
type world struct {
	limits      fence.Limits
	now         time.Time
	incarnation uint64
	node        *fence.Fence[string]
	sent        []fence.Attempt
	copies      []fence.Attempt
	queued      []fence.Attempt
	running     []fence.Attempt
	opened      map[call.ID]fence.Attempt
	runs        map[attemptKey]int
	runsOnce    map[call.ID]int
	notRun      map[attemptKey]bool
	retired     map[call.ID]bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		limits: limits,
		now:    time.Unix(1_000_000, 0), opened: map[call.ID]fence.Attempt{}, runs: map[attemptKey]int{},
		runsOnce: map[call.ID]int{}, notRun: map[attemptKey]bool{}, retired: map[call.ID]bool{},
	}
	w.limits.MaxAttemptRecords = rapid.SampledFrom([]int{3, 60}).Draw(t, "records")
	w.limits.MaxOnceOperations = rapid.SampledFrom([]int{1, 40}).Draw(t, "operations")
	w.limits.MaxResponseBytes = rapid.SampledFrom([]int64{0, 200}).Draw(t, "answerBytes")
	w.restart(nil)

	return w
}

func (w *world) restart(*rapid.T) {
	w.incarnation++
	w.node = fence.New[string](w.incarnation, w.limits)
	w.queued, w.running = nil, nil
}

// send makes a new attempt; a once operation stays pinned to the incarnation of its first.
func (w *world) send(t *rapid.T) {
	op := call.ID(fmt.Sprint("op", rapid.IntRange(0, 5).Draw(t, "op")))
	a, known := w.opened[op]
	if !known {
		a = fence.Attempt{Op: op, Once: rapid.Bool().Draw(t, "once"), Opened: w.now, Incarnation: w.incarnation}
	}
	a.Number++
	a.Issued = w.now.Add(time.Duration(rapid.IntRange(-2, 2).Draw(t, "skew")) * time.Second)
	if !a.Once {
		a.Incarnation = w.incarnation
	}
	w.opened[op] = a
	w.sent = append(w.sent, a)
	for range rapid.IntRange(0, 2).Draw(t, "copies") {
		w.copies = append(w.copies, a)
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

func (w *world) told(a fence.Attempt, v fence.Verdict[string]) {
	if v.Outcome == call.OutcomeNotRun {
		w.notRun[keyOf(a)] = true
	}
}

func (w *world) arrive(t *rapid.T) {
	a, ok := draw(t, &w.copies, true)
	if !ok {
		return
	}
	v := w.node.Admit(w.now, a)
	w.told(a, v)
	if v.Admitted() {
		w.queued = append(w.queued, a)
	}
}

func (w *world) start(t *rapid.T) {
	a, ok := draw(t, &w.queued, true)
	if !ok || !w.node.Start(a) {
		return
	}
	w.runs[keyOf(a)]++
	if a.Once {
		w.runsOnce[a.Op]++
	}
	w.running = append(w.running, a)
}

func (w *world) refuse(t *rapid.T) {
	if a, ok := draw(t, &w.queued, true); ok {
		w.node.Refuse(a)
		w.notRun[keyOf(a)] = true
	}
}

func (w *world) finish(t *rapid.T) {
	if a, ok := draw(t, &w.running, true); ok {
		answer := string(a.Op)
		w.node.Finish(a, &answer, int64(len(answer)))
	}
}

func (w *world) resolve(t *rapid.T) {
	if a, ok := draw(t, &w.sent, false); ok {
		w.told(a, w.node.Resolve(w.now, a))
	}
}

func (w *world) cancel(t *rapid.T) {
	if a, ok := draw(t, &w.sent, false); ok {
		w.told(a, w.node.Cancel(w.now, a))
	}
}

func (w *world) retire(t *rapid.T) {
	a, ok := draw(t, &w.sent, false)
	if ok && w.node.Retire(w.now, a).Outcome == call.OutcomeNotRun {
		w.retired[a.Op] = true
	}
}

func (w *world) wait(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 300, 2500, 6000, 70_000, -3000}).Draw(t, "ms")) * time.Millisecond)
}

func (w *world) check(t *rapid.T) {
	for k, n := range w.runs {
		require.LessOrEqual(t, n, 1, "attempt %v ran more than once", k)
		require.False(t, w.notRun[k], "attempt %v ran, but was told not to have", k)
	}
	for op, n := range w.runsOnce {
		require.LessOrEqual(t, n, 1, "once operation %s ran more than once", op)
		require.False(t, w.retired[op], "once operation %s ran, but was retired", op)
	}
}

func TestNotRunIsTrueAndOnceIsOnceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"send": w.send, "arrive": w.arrive, "arriveToo": w.arrive, "start": w.start, "startToo": w.start,
			"finish": w.finish, "refuse": w.refuse, "resolve": w.resolve, "cancel": w.cancel, "retire": w.retire,
			"wait": w.wait, "widen": func(t *rapid.T) {
				w.node.ExtendRetention(w.now, time.Duration(rapid.IntRange(1, 5).Draw(t, "minutes"))*time.Minute)
			}, "restart": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
					w.restart(t)
				}
			},
			"": w.check,
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

func TestOnceOperationKeepsItsAnswerForLaterAttempts(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fence.New[string](7, limits)
	first, second := attempt(1, true, now), attempt(2, true, now)
	require.True(t, f.Admit(now, first).Admitted())
	require.True(t, f.Admit(now, second).InProgress())
	require.True(t, f.Start(first))
	require.Equal(t, fence.StateRunning, f.Resolve(now, second).State)

	answer := "signed"
	f.Finish(first, &answer, 6)
	v := f.Admit(now.Add(30*time.Second), attempt(3, true, now))
	require.Equal(t, call.OutcomeRan, v.Outcome)
	require.Equal(t, "signed", *v.Answer)
}

func TestWhatIsOlderThanTheMemoryIsRefused(t *testing.T) {
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

func TestWidenDoesNotBringBackWhatWasForgotten(t *testing.T) {
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
	answer := "kept"
	f.Finish(newer, &answer, 4)
	later := late.Add(5 * limits.OnceRetention)
	repeated := attempt(2, true, late)
	repeated.Issued = later
	require.Equal(t, &answer, f.Admit(later, repeated).Answer)
}

func TestOldestAnswersGoFirstAndOperationsStay(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fence.New[string](7, limits)
	answer := "signed"
	for i := range limits.MaxOnceOperations {
		a := fence.Attempt{Op: call.ID(fmt.Sprint(i)), Number: 1, Issued: now, Once: true, Opened: now, Incarnation: 7}
		require.True(t, f.Admit(now, a).Admitted())
		require.True(t, f.Start(a))
		f.Finish(a, &answer, limits.MaxResponseBytes/10)
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

func TestFullMemoryForgetsEarlyAndRefusesWhatIsOlder(t *testing.T) {
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

func TestAnotherIncarnationPromisesNothing(t *testing.T) {
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

func TestMemoryIsBoundedAndRefusesWhenFull(t *testing.T) {
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
	require.Equal(t, 7*limits.MaxAttemptRecords, outcomes[call.OutcomeUnknown], "what is not remembered must not be promised")
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
