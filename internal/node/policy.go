package node

import (
	"time"

	"github.com/pistachiotack/pistachiotack/internal/entry"
	"github.com/pistachiotack/pistachiotack/internal/exec"
	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/pkg/config"
)

// decisions returns the decision log, which only writes lines if the settings ask for them.
func (n *Node) decisions(logs Logs) *trace.Log {
	out := logs.Decisions
	if !n.settings.Log.Decisions {
		out = nil
	}

	return trace.New(out, n.settings.Name, n.settings.Log.Buffer)
}

// admitter returns the decisions on who runs that the settings select.
func (n *Node) admitter(decisions *trace.Log) exec.Admitter {
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

// routing returns the decisions on targets and retries that the settings select.
func (n *Node) routing(decisions *trace.Log) (entry.Chooser, entry.Retrier) {
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
