package guard

import (
	"github.com/pistachiotack/pistachiotack/pkg/leave"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// StartDraining refuses new calls and announces the node as draining; admitted calls run to their end.
func (g *Guard) StartDraining() {
	g.draining.Store(true)
	g.server.DisableKeepAlives()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announce(member.StateDraining)
}

// RefuseLate refuses calls that the end of the node excludes.
func (g *Guard) RefuseLate(end leave.End) {
	g.end.Store(&end)
}

// GiveUp ends all calls, also those that must not be cancelled by their callers. Their outcome is unknown if they run.
func (g *Guard) GiveUp() {
	g.server.GiveUp()
	g.cancelCalls()
}

// Active returns the number of calls in the queue or running, or of calls of other nodes whose responses have not been sent as a whole if
// there are more of these.
func (g *Guard) Active() int64 {
	return max(g.active.Load(), g.server.OpenRequests())
}
