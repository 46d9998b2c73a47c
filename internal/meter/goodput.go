package meter

import (
	"net/http"
	"sync/atomic"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// Goodput counts the important requests (classes high and vital) since the start of the process, and those of them that were
// answered completely and in time. It is safe for concurrent use.
type Goodput struct {
	offered atomic.Uint64
	good    atomic.Uint64
}

// Record counts one request that ended with an HTTP status, or with a refusal if that is not nil. It ignores requests of the lower
// classes and refusals that the caller caused.
func (g *Goodput) Record(class call.Class, status int, refusal *call.Refusal) {
	if class < call.ClassHigh || refusal != nil && isCallerFault(refusal.Reason) {
		return
	}
	if refusal == nil && status < http.StatusInternalServerError {
		g.good.Add(1)
	}
	g.offered.Add(1)
}

// Count returns the counts so far. Record increments good before offered, so a Count in between raises Offered to Good.
func (g *Goodput) Count() trial.Count {
	good := g.good.Load()

	return trial.Count{Offered: max(g.offered.Load(), good), Good: good}
}

// isCallerFault reports whether a refusal is due to the request of the caller and not to the state of the system.
func isCallerFault(reason call.Reason) bool {
	switch reason {
	case call.ReasonBadRequest, call.ReasonCancelled, call.ReasonNoParent, call.ReasonNeedsTicket, call.ReasonTicketExpired,
		call.ReasonKeyClaimed, call.ReasonDuplicate, call.ReasonUnknownService, call.ReasonWrongIncarnation:
		return true
	default:
		return false
	}
}
