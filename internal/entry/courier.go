package entry

import (
	"context"

	"github.com/pistachiotack/pistachiotack/internal/exec"
	"github.com/pistachiotack/pistachiotack/pkg/fence"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	courierWorkers = 4
	courierQueue   = 1024
)

// Caller asks other nodes on the control listener.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

type errand struct {
	address string
	attempt fence.Attempt
}

// courier tells nodes of attempts for which nobody waits any more, should the closed connection not tell them.
type courier struct {
	control Caller
	queue   chan errand
	ended   chan struct{}
	stop    context.CancelFunc
}

func newCourier(control Caller) *courier {
	ctx, stop := context.WithCancel(context.Background())
	k := &courier{control: control, queue: make(chan errand, courierQueue), ended: make(chan struct{}, courierWorkers), stop: stop}
	for range courierWorkers {
		go k.run(ctx)
	}

	return k
}

// cancel queues the message; a full queue drops it, as the deadline ends the attempt in any case.
func (k *courier) cancel(target member.Entry, attempt fence.Attempt) {
	select {
	case k.queue <- errand{address: target.Control, attempt: attempt}:
	default:
	}
}

func (k *courier) run(ctx context.Context) {
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
func (k *courier) deliver(ctx context.Context, e errand) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	var verdict exec.Verdict
	_ = k.control.Call(ctx, e.address, exec.MethodCancel, exec.ResolveArgs{Attempt: e.attempt}, &verdict)
}

// close ends the workers and waits for them.
func (k *courier) close() {
	k.stop()
	for range courierWorkers {
		<-k.ended
	}
}
