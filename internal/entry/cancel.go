package entry

import (
	"context"

	"github.com/pistachiotack/pistachiotack/internal/exec"
	"github.com/pistachiotack/pistachiotack/pkg/fence"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	cancelWorkers = 4
	cancelQueue   = 1024
)

// ControlClient calls RPC methods of other nodes at their control address.
type ControlClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

type cancellation struct {
	address string
	attempt fence.Attempt
}

// canceller cancels attempts at their executing nodes when the entry node no longer waits for the response, in case an
// executing node doesn't notice that the connection was closed.
type canceller struct {
	control ControlClient
	queue   chan cancellation
	done    chan struct{}
	stop    context.CancelFunc
}

func newCanceller(control ControlClient) *canceller {
	ctx, stop := context.WithCancel(context.Background())
	k := &canceller{control: control, queue: make(chan cancellation, cancelQueue), done: make(chan struct{}, cancelWorkers), stop: stop}
	for range cancelWorkers {
		go k.run(ctx)
	}

	return k
}

// cancel queues a cancellation, and drops it if the queue is full, as the deadline ends the attempt in any case.
func (k *canceller) cancel(target member.Entry, attempt fence.Attempt) {
	select {
	case k.queue <- cancellation{address: target.Control, attempt: attempt}:
	default:
	}
}

func (k *canceller) run(ctx context.Context) {
	for {
		select {
		case message := <-k.queue:
			k.send(ctx, message)
		case <-ctx.Done():
			k.done <- struct{}{}

			return
		}
	}
}

// send makes one attempt to deliver the cancellation and ignores errors.
func (k *canceller) send(ctx context.Context, message cancellation) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	var verdict exec.Verdict
	_ = k.control.Call(ctx, message.address, exec.MethodCancel, exec.ResolveArgs{Attempt: message.attempt}, &verdict)
}

// close stops the workers and waits until they have ended.
func (k *canceller) close() {
	k.stop()
	for range cancelWorkers {
		<-k.done
	}
}
