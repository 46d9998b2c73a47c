package node

import (
	"time"

	"github.com/pistachiotack/pistachiotack/internal/entry"
	"github.com/pistachiotack/pistachiotack/internal/exec"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/pkg/config"
)

// newDecisionLog returns the decision log. It writes lines only if the settings enable them.
func (n *Node) newDecisionLog(logs Logs) *trace.Log {
	out := logs.Decisions
	if !n.settings.Log.Decisions {
		out = nil
	}

	return trace.New(out, n.settings.Name, n.settings.Log.Buffer)
}

// newAdmitter returns the admission policy that the settings select.
func (n *Node) newAdmitter(decisions *trace.Log) exec.Admitter {
	slots := n.settings.Backend.Slots
	if n.settings.Policy == config.PolicyBaseline {
		return exec.NewFixedAdmitter(slots)
	}

	return exec.NewAdaptiveAdmitter(exec.AdaptiveOptions{
		Service: n.settings.Service,
		Slots:   slots,
		Seed:    n.incarnation,
		Tracer:  decisions,
	}, time.Now())
}

// newRouting returns the policies for the choice of targets and for retries that the settings select.
func (n *Node) newRouting(decisions *trace.Log) (entry.Chooser, entry.Retrier) {
	if n.settings.Policy == config.PolicyBaseline {
		return entry.NewRoundRobin(), entry.NewFixedRetrier()
	}
	chooser := entry.NewAdaptiveChooser(entry.AdaptiveOptions{
		Node:       n.settings.Name,
		DataCentre: n.settings.DataCentre,
		Seed:       n.incarnation,
		Tracer:     decisions,
	})

	return chooser, entry.NewAdaptiveRetrier(n.incarnation)
}
