package exec

import (
	"context"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/fence"
)

// net/rpc methods of the executing node on the control listener.
const (
	controlName    = "Exec"
	MethodResolve  = controlName + ".Resolve"
	MethodCancel   = controlName + ".Cancel"
	MethodRetire   = controlName + ".Retire"
	MethodIdentify = controlName + ".Identify"
	MethodVitals   = controlName + ".Vitals"
)

// maxResolveWait is the maximum time for which Resolve waits for a once operation.
const maxResolveWait = time.Second

// ResolveArgs are the arguments of Resolve, Cancel and Retire.
type ResolveArgs struct {
	Attempt fence.Attempt
	// Wait is how long Resolve waits for a once operation that is in progress.
	Wait time.Duration
}

// IdentifyArgs are the arguments of Identify.
type IdentifyArgs struct{}

// Identity identifies the running process of a node.
type Identity struct {
	Incarnation uint64
	Service     string
}

// VitalsArgs are the arguments of Vitals.
type VitalsArgs struct {
	Kind string
}

// Vitals describe the state of the local backend server.
type Vitals struct {
	// Stalled says that calls are running, but there has been no response for much longer than usual.
	Stalled bool
}

// Control serves control calls of other nodes, on connections separate from those for requests.
type Control struct {
	exec *Exec
}

// Resolve returns the verdict on an attempt, and fences the attempt if it has not arrived.
func (c *Control) Resolve(args ResolveArgs, verdict *Verdict) error {
	*verdict = c.exec.callTable.resolve(time.Now(), args.Attempt)
	if !verdict.InProgress() || !args.Attempt.Once || args.Wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Wait, maxResolveWait))
	defer cancel()
	c.exec.callTable.wait(ctx, args.Attempt.Op)
	*verdict = c.exec.callTable.resolve(time.Now(), args.Attempt)

	return nil
}

// Cancel ends an attempt whose response is no longer needed, unless it is a running once operation.
func (c *Control) Cancel(args ResolveArgs, verdict *Verdict) error {
	*verdict = c.exec.callTable.cancel(time.Now(), args.Attempt)

	return nil
}

// Retire fences a once operation permanently, so that its key may move to another home, the node incarnation that may run it.
func (c *Control) Retire(args ResolveArgs, verdict *Verdict) error {
	*verdict = c.exec.callTable.retire(time.Now(), args.Attempt)

	return nil
}

// Vitals reports whether the backend server has stopped responding to calls of a kind.
func (c *Control) Vitals(args VitalsArgs, vitals *Vitals) error {
	*vitals = Vitals{Stalled: c.exec.stalled(args.Kind)}

	return nil
}

// Identify returns the incarnation and the service of the process.
func (c *Control) Identify(_ IdentifyArgs, identity *Identity) error {
	*identity = Identity{Incarnation: c.exec.options.Incarnation, Service: c.exec.options.Service}

	return nil
}
