package exec

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/fence"
)

// Field is one header field of a response.
type Field struct {
	Name  string
	Value string
}

// Response is the complete response of a once operation. Its field names are part of control messages and of stored rows.
type Response struct {
	Status int
	Fields []Field
	Body   []byte
}

// Fill writes the response into an empty one. Fields with the same name keep a line each.
func (r Response) Fill(out *protocol.Response) {
	out.SetStatusCode(r.Status)
	for _, field := range r.Fields {
		out.Header.Add(field.Name, field.Value)
	}
	out.SetBody(r.Body)
}

// Verdict is the state of an attempt at an executing node, and the outcome that its sender may rely on.
type Verdict = fence.Verdict[Response]

// callTable holds the fence of this node incarnation, that is one start of the node process, and the calls in progress.
type callTable struct {
	mu    sync.Mutex
	fence *fence.Fence[Response]
	// settled holds a channel for each once operation in progress, which is closed when the operation is settled.
	settled map[call.ID]chan struct{}
	// cancelFuncs cancel the contexts of the attempts in progress.
	cancelFuncs map[attemptKey]context.CancelFunc
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
		fence:       fence.New[Response](incarnation, fence.DefaultLimits()),
		settled:     map[call.ID]chan struct{}{},
		cancelFuncs: map[attemptKey]context.CancelFunc{},
	}
}

// admit submits an attempt to the fence. If it is admitted, a later Cancel of the attempt calls cancel.
func (t *callTable) admit(now time.Time, a fence.Attempt, onceRetention time.Duration, cancel context.CancelFunc) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()

	if a.Once {
		t.fence.ExtendRetention(now, onceRetention)
	}
	verdict := t.fence.Admit(now, a)
	if verdict.Admitted() {
		t.cancelFuncs[keyOf(a)] = cancel
		if a.Once {
			t.settled[a.Op] = make(chan struct{})
		}
	}

	return verdict
}

func (t *callTable) start(a fence.Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.fence.Start(a)
}

// refuse settles an attempt that was not sent to the backend server.
func (t *callTable) refuse(a fence.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fence.Refuse(a)
	t.removeCall(a)
}

// finish settles an attempt that ran. A nil response is not remembered.
func (t *callTable) finish(a fence.Attempt, response *Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	size := 0
	if response != nil {
		size = len(response.Body)
	}
	t.fence.Finish(a, response, int64(size))
	t.removeCall(a)
}

// removeCall removes a settled attempt and wakes the callers of wait. The caller must hold t.mu.
func (t *callTable) removeCall(a fence.Attempt) {
	delete(t.cancelFuncs, keyOf(a))
	if done, found := t.settled[a.Op]; a.Once && found {
		close(done)
		delete(t.settled, a.Op)
	}
}

// wait blocks until the once operation is settled or the context ends.
func (t *callTable) wait(ctx context.Context, op call.ID) {
	t.mu.Lock()
	done := t.settled[op]
	t.mu.Unlock()
	if done == nil {
		return
	}
	select {
	case <-done:
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

// cancel fences a queued attempt, and ends a running one unless it belongs to a once operation.
func (t *callTable) cancel(now time.Time, a fence.Attempt) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()

	verdict := t.fence.Cancel(now, a)
	cancelWork, found := t.cancelFuncs[keyOf(a)]
	if found && (verdict.State == fence.StateFenced || !a.Once) {
		cancelWork()
	}

	return verdict
}
