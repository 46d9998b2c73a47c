package procs_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/load"
	"github.com/pistachiotack/pistachiotack/internal/procs"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

func TestCallsTravelThroughRealProcesses(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"rijksbureau", "vysocina"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := start(t, procs.Options{Example: example(t, name), Tree: treeOf(t, name)})
			report, err := fleet.Play(t.Context(), procs.Scenario{Name: "calm", Usual: 0.1}, procs.Timing{
				Before: time.Second, During: time.Second, After: time.Second,
			}, nil)
			require.NoError(t, err)
			requireKept(t, fleet, report)
			for _, kind := range report.Kinds {
				require.Equal(t, kind.Offered, kind.Good, "%s %s: %+v", kind.Phase, kind.Kind, report.Refusals)
			}
		})
	}
}

// chain returns six services, each of which calls the next one.
func chain() load.Example {
	names := []string{"logboek", "keuring", "certificaat", "alarm", "vitrina", "kalendar"}
	example := load.Example{Name: "chain", Scale: 1, DataCentres: []string{"hal-a"}, Deep: "kalendar"}
	for i, name := range names {
		kind := load.Kind{
			Name: name, Service: name, Method: http.MethodGet, Path: "/" + name + "/%d", Class: call.ClassNormal,
			Bytes: 100, Work: time.Millisecond, Deadline: time.Second,
		}
		if i+1 < len(names) {
			kind.Calls = []string{names[i+1]}
		}
		if i == 0 {
			kind.Share = 1
		}
		example.Kinds = append(example.Kinds, kind)
		example.Services = append(example.Services, load.Service{Name: name, Targets: 2, Slots: 32, Connections: 64})
	}

	return example
}

// attemptsInTree is what the tree allows one root request of the chain.
const attemptsInTree = 6

func TestAttemptsStayBoundedWhenEveryHopFails(t *testing.T) {
	t.Parallel()
	fleet := start(t, procs.Options{Example: chain()})
	for _, member := range fleet.Of("kalendar") {
		member.Backend.Server.Change(func(b *fake.Behaviour) { b.FailShare = 1 })
	}
	report, err := fleet.Play(t.Context(), procs.Scenario{Name: "chain", Usual: 0.005, Rate: 0.02, Hard: true}, shortTiming(), nil)
	require.NoError(t, err)
	requireKept(t, fleet, report)
	require.Zero(t, report.Phases[0].Good)
	require.Positive(t, report.Attempts.Max)
	require.LessOrEqual(t, report.Attempts.Max, attemptsInTree)
}
