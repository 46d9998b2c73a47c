package meter

import (
	"net/http"
	"sync/atomic"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// Goodput counts requests of the important classes, and those answered whole and in time, since the start.
type Goodput struct {
	offered atomic.Uint64
	good    atomic.Uint64
}

// Record counts one request that ended with that status or refusal, nil for an answer.
func (g *Goodput) Record(class call.Class, status int, refusal *call.Refusal) {
	if class < call.ClassHigh || refusal != nil && causedByCaller(refusal.Reason) {
		return
	}
	if refusal == nil && status < http.StatusInternalServerError {
		g.good.Add(1)
	}
	g.offered.Add(1)
}

// Count returns the counts so far, never more good requests than offered ones for long.
func (g *Goodput) Count() trial.Count {
	good := g.good.Load()

	return trial.Count{Offered: max(g.offered.Load(), good), Good: good}
}

// causedByCaller reports whether a refusal says nothing about how the system fares.
func causedByCaller(reason call.Reason) bool {
	switch reason {
	case call.ReasonBadRequest, call.ReasonCancelled, call.ReasonNoParent, call.ReasonNeedsTicket, call.ReasonTicketExpired,
		call.ReasonKeyClaimed, call.ReasonDuplicate, call.ReasonUnknownService, call.ReasonWrongIncarnation:
		return true
	default:
		return false
	}
}
