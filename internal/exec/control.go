package exec

import (
	"context"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/fence"
)

// Methods of the executing node on the control listener.
const (
	controlName    = "Exec"
	MethodResolve  = controlName + ".Resolve"
	MethodCancel   = controlName + ".Cancel"
	MethodRetire   = controlName + ".Retire"
	MethodIdentify = controlName + ".Identify"
	MethodVitals   = controlName + ".Vitals"
)

// maxResolveWait bounds the time for which Resolve waits for a once operation.
const maxResolveWait = time.Second

// ResolveArgs ask what became of an attempt.
type ResolveArgs struct {
	Attempt fence.Attempt
	// Wait is how long to wait for a once operation that is under way.
	Wait time.Duration
}

// IdentifyArgs ask for the identity of a node.
type IdentifyArgs struct{}

// Identity names the running process of a node.
type Identity struct {
	Incarnation uint64
	Service     string
}

// VitalsArgs ask whether the backend server still answers calls of a kind.
type VitalsArgs struct {
	Kind string
}

// Vitals tell of the backend server beside a node.
type Vitals struct {
	// Stalled says that calls run, but none has ended for far longer than usual.
	Stalled bool
}

// Control serves the questions that other nodes ask on connections apart from the calls.
type Control struct {
	exec *Exec
}

// Resolve says what became of an attempt, and fences it if it did not arrive.
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

// Cancel ends an attempt for which nobody waits any more, except a once operation that runs.
func (c *Control) Cancel(args ResolveArgs, verdict *Verdict) error {
	*verdict = c.exec.callTable.cancel(time.Now(), args.Attempt)

	return nil
}

// Retire fences a once operation for good, so that it may be given another home.
func (c *Control) Retire(args ResolveArgs, verdict *Verdict) error {
	*verdict = c.exec.callTable.retire(time.Now(), args.Attempt)

	return nil
}

// Vitals says whether the backend server has stopped answering.
func (c *Control) Vitals(args VitalsArgs, vitals *Vitals) error {
	*vitals = Vitals{Stalled: c.exec.stalled(args.Kind)}

	return nil
}

// Identify returns the incarnation of the process.
func (c *Control) Identify(_ IdentifyArgs, identity *Identity) error {
	*identity = Identity{Incarnation: c.exec.options.Incarnation, Service: c.exec.options.Service}

	return nil
}
