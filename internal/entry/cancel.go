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

// ControlClient asks other nodes on the control listener.
type ControlClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

type cancellation struct {
	address string
	attempt fence.Attempt
}

// canceller tells nodes of attempts for which nobody waits any more, should the closed connection not tell them.
type canceller struct {
	control ControlClient
	queue   chan cancellation
	ended   chan struct{}
	stop    context.CancelFunc
}

func newCanceller(control ControlClient) *canceller {
	ctx, stop := context.WithCancel(context.Background())
	k := &canceller{control: control, queue: make(chan cancellation, cancelQueue), ended: make(chan struct{}, cancelWorkers), stop: stop}
	for range cancelWorkers {
		go k.run(ctx)
	}

	return k
}

// cancel queues the message; a full queue drops it, as the deadline ends the attempt in any case.
func (k *canceller) cancel(target member.Entry, attempt fence.Attempt) {
	select {
	case k.queue <- cancellation{address: target.Control, attempt: attempt}:
	default:
	}
}

func (k *canceller) run(ctx context.Context) {
	for {
		select {
		case e := <-k.queue:
			k.deliver(ctx, e)
		case <-ctx.Done():
			k.ended <- struct{}{}

			return
		}
	}
}

// deliver is best effort.
func (k *canceller) deliver(ctx context.Context, e cancellation) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	var verdict exec.Verdict
	_ = k.control.Call(ctx, e.address, exec.MethodCancel, exec.ResolveArgs{Attempt: e.attempt}, &verdict)
}

// close ends the workers and waits for them.
func (k *canceller) close() {
	k.stop()
	for range cancelWorkers {
		<-k.ended
	}
}
