package exec

import (
	"context"
	"sync"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/fence"
)

// Field is one header of an answer.
type Field struct {
	Name  string
	Value string
}

// Response is the whole answer of a once operation, as it is remembered.
type Response struct {
	Status int
	Fields []Field
	Body   []byte
}

// Verdict is what an executing node knows of an attempt.
type Verdict = fence.Verdict[Response]

// callTable is the fence of this incarnation, with the calls under way.
type callTable struct {
	mu    sync.Mutex
	fence *fence.Fence[Response]
	// changed holds for each call under way a channel that is closed when the call is settled.
	changed map[call.ID]chan struct{}
	cancels map[attemptKey]context.CancelFunc
}

type attemptKey struct {
	op     call.ID
	number int
}

func keyOf(a fence.Attempt) attemptKey {
	return attemptKey{op: a.Op, number: a.Number}
}

func newCallTable(incarnation uint64) *callTable {
	return &callTable{
		fence:   fence.New[Response](incarnation, fence.DefaultLimits()),
		changed: map[call.ID]chan struct{}{},
		cancels: map[attemptKey]context.CancelFunc{},
	}
}

// arrive admits the attempt, whose work ends with cancel, or says what is known of it.
func (t *callTable) arrive(now time.Time, a fence.Attempt, memory time.Duration, cancel context.CancelFunc) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()

	if a.Once {
		t.fence.ExtendRetention(now, memory)
	}
	verdict := t.fence.Admit(now, a)
	if verdict.Admitted() {
		t.cancels[keyOf(a)] = cancel
		if a.Once {
			t.changed[a.Op] = make(chan struct{})
		}
	}

	return verdict
}

func (t *callTable) start(a fence.Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.fence.Start(a)
}

// refuse settles an attempt that did not reach the backend server.
func (t *callTable) refuse(a fence.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fence.Refuse(a)
	t.settled(a)
}

// finish settles an attempt that ran, answer nil if none is to be remembered.
func (t *callTable) finish(a fence.Attempt, answer *Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	size := 0
	if answer != nil {
		size = len(answer.Body)
	}
	t.fence.Finish(a, answer, int64(size))
	t.settled(a)
}

func (t *callTable) settled(a fence.Attempt) {
	delete(t.cancels, keyOf(a))
	if changed, waited := t.changed[a.Op]; a.Once && waited {
		close(changed)
		delete(t.changed, a.Op)
	}
}

// wait returns when the once operation is settled, or when the context ends.
func (t *callTable) wait(ctx context.Context, op call.ID) {
	t.mu.Lock()
	changed := t.changed[op]
	t.mu.Unlock()
	if changed == nil {
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

func (t *callTable) resolve(now time.Time, a fence.Attempt) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.fence.Resolve(now, a)
}

func (t *callTable) retire(now time.Time, a fence.Attempt) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.fence.Retire(now, a)
}

// cancel fences an attempt that waits, and ends one that runs unless it is a once operation.
func (t *callTable) cancel(now time.Time, a fence.Attempt) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()

	verdict := t.fence.Cancel(now, a)
	stop, underWay := t.cancels[keyOf(a)]
	if underWay && (verdict.State == fence.StateFenced || !a.Once) {
		stop()
	}

	return verdict
}
