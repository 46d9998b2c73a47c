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

// Answer is the whole answer of a once operation, as it is remembered.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
}

// Verdict is what an executing node knows of an attempt.
type Verdict = fence.Verdict[Answer]

// book is the fence of this incarnation, with the calls under way.
type book struct {
	mu    sync.Mutex
	fence *fence.Fence[Answer]
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

func newBook(incarnation uint64) *book {
	return &book{
		fence:   fence.New[Answer](incarnation, fence.DefaultLimits()),
		changed: map[call.ID]chan struct{}{},
		cancels: map[attemptKey]context.CancelFunc{},
	}
}

// arrive admits the attempt, whose work ends with cancel, or says what is known of it.
func (b *book) arrive(now time.Time, a fence.Attempt, memory time.Duration, cancel context.CancelFunc) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()

	if a.Once {
		b.fence.Widen(now, memory)
	}
	verdict := b.fence.Arrive(now, a)
	if verdict.Admitted() {
		b.cancels[keyOf(a)] = cancel
		if a.Once {
			b.changed[a.Op] = make(chan struct{})
		}
	}

	return verdict
}

func (b *book) start(a fence.Attempt) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.fence.Start(a)
}

// refuse settles an attempt that did not reach the backend server.
func (b *book) refuse(a fence.Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fence.Refuse(a)
	b.settled(a)
}

// finish settles an attempt that ran, answer nil if none is to be remembered.
func (b *book) finish(a fence.Attempt, answer *Answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := 0
	if answer != nil {
		size = len(answer.Body)
	}
	b.fence.Finish(a, answer, int64(size))
	b.settled(a)
}

func (b *book) settled(a fence.Attempt) {
	delete(b.cancels, keyOf(a))
	if changed, waited := b.changed[a.Op]; a.Once && waited {
		close(changed)
		delete(b.changed, a.Op)
	}
}

// wait returns when the once operation is settled, or when the context ends.
func (b *book) wait(ctx context.Context, op call.ID) {
	b.mu.Lock()
	changed := b.changed[op]
	b.mu.Unlock()
	if changed == nil {
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

func (b *book) resolve(now time.Time, a fence.Attempt) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.fence.Resolve(now, a)
}

func (b *book) retire(now time.Time, a fence.Attempt) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.fence.Retire(now, a)
}

// cancel fences an attempt that waits, and ends one that runs unless it is a once operation.
func (b *book) cancel(now time.Time, a fence.Attempt) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()

	verdict := b.fence.Cancel(now, a)
	stop, underWay := b.cancels[keyOf(a)]
	if underWay && (verdict.State == fence.StateFenced || !a.Once) {
		stop()
	}

	return verdict
}
