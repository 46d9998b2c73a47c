package procs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/load"
	"github.com/pistachiotack/pistachiotack/internal/procs"
)

// small returns an example with three data centres and six nodes.
func small(t *testing.T) load.Example {
	t.Helper()
	whole := example(t, "rijksbureau")
	whole.Scale = 10
	whole.DataCentres = whole.DataCentres[:3]
	whole.Services = whole.Services[:2]
	for i := range whole.Services {
		whole.Services[i].Targets = 3
	}
	whole.Kinds = whole.Kinds[:6]

	return whole
}

// TestPromisesHoldInEachFault plays a short run of each class of fault; the long set is "bench run --scenario faults".
func TestPromisesHoldInEachFault(t *testing.T) {
	for _, scenario := range procs.Faults() {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			fleet := start(t, procs.Options{Example: small(t), Tree: treeOf(t, "rijksbureau"), Linked: scenario.Linked})
			scenario.Usual = 0.15
			scenario.Rate = min(scenario.Rate, 0.3)
			report, err := fleet.Play(t.Context(), scenario, procs.Timing{
				Before: time.Second, During: 2 * time.Second, After: 4 * time.Second,
			}, nil)
			require.NoError(t, err)
			requireKept(t, fleet, report)
			require.True(t, report.Recovered, "goodput did not return: %+v", report.Refusals)
			t.Logf("recovery %s, good before %.4f during %.4f after %.4f, refusals %+v", report.Recovery,
				goodShare(report, 0), goodShare(report, 1), goodShare(report, 2), report.Refusals)
		})
	}
}

func goodShare(report *load.Report, phase int) float64 {
	return float64(report.Phases[phase].Good) / float64(report.Phases[phase].Offered)
}
