package procs_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/fault"
	"github.com/pistachiotack/pistachiotack/internal/gossip"
	"github.com/pistachiotack/pistachiotack/internal/procs"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const memberPoll = 50 * time.Millisecond

// quick shortens the timing of membership, so that the tests need not wait for minutes.
func quick(node *config.Node) {
	node.Fleet.Gossip = config.Duration(100 * time.Millisecond)
	node.Fleet.Probe = config.Duration(300 * time.Millisecond)
	node.Fleet.Suspect = config.Duration(time.Second)
}

func statusOf(t *testing.T, node *procs.Process) gossip.Status {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+node.Settings().Listen.Operators+gossip.PathStatus, nil)
	require.NoError(t, err)
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	var status gossip.Status
	require.NoError(t, json.NewDecoder(answer.Body).Decode(&status))

	return status
}

func stateAt(t *testing.T, observer, subject *procs.Member) member.State {
	t.Helper()
	for _, each := range statusOf(t, observer.Node).Members {
		if each.ID == subject.Backend.Name {
			return each.State
		}
	}

	return ""
}

// awaitState waits until all observers but the subject see it in that state.
func awaitState(t *testing.T, observers []*procs.Member, subject *procs.Member, state member.State) {
	t.Helper()
	for _, observer := range observers {
		if observer != subject {
			require.Eventually(t, func() bool { return stateAt(t, observer, subject) == state }, 30*time.Second, memberPoll,
				"%s sees %s not as %s", observer.Backend.Name, subject.Backend.Name, state)
		}
	}
}

func awaitAllServing(t *testing.T, members []*procs.Member) {
	t.Helper()
	for _, subject := range members {
		awaitState(t, members, subject, member.StateServing)
	}
}

// TestLeavingTargetGetsNoNewWorkAndCutsNothing stops one node of a service under load, with the load on the other entries.
func TestLeavingTargetGetsNoNewWorkAndCutsNothing(t *testing.T) {
	fleet := start(t, procs.Options{Example: small(t), Tree: treeOf(t, "rijksbureau")})
	leaver := fleet.Members[0]
	fleet.SetEntries(fleet.Members[1:])
	scenario := procs.Scenario{Name: "leave", Usual: 0.15, Begin: func(context.Context, *procs.Fleet) error {
		leaver.Backend.Server.Change(func(b *fake.Behaviour) { b.Draining = true })

		return leaver.Node.Terminate()
	}}
	report, err := fleet.Play(t.Context(), scenario, procs.Timing{Before: time.Second, During: 4 * time.Second, After: time.Second}, nil)
	require.NoError(t, err)
	requireKept(t, fleet, report)
	for i, phase := range report.Phases {
		require.Equal(t, phase.Offered, phase.Good, "phase %d: %+v", i, report.Refusals)
	}
	require.Zero(t, fleet.Ledger.Totals().AfterDrain)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, leaver.Node.Wait(ctx))
	awaitState(t, fleet.Members[1:], leaver, member.StateLeft)
}

// TestBackendServersOwnDrainReportCounts lets a backend server say that it drains, while its node stays.
func TestBackendServersOwnDrainReportCounts(t *testing.T) {
	fleet := start(t, procs.Options{Example: small(t), Tree: treeOf(t, "rijksbureau")})
	leaver := fleet.Members[0]
	scenario := procs.Scenario{Name: "report", Usual: 0.15, Begin: func(context.Context, *procs.Fleet) error {
		leaver.Backend.Server.Change(func(b *fake.Behaviour) { b.Draining = true })

		return nil
	}}
	report, err := fleet.Play(t.Context(), scenario, procs.Timing{Before: time.Second, During: 4 * time.Second, After: time.Second}, nil)
	require.NoError(t, err)
	requireKept(t, fleet, report)
	require.Zero(t, fleet.Ledger.Totals().AfterDrain)
	awaitState(t, fleet.Members, leaver, member.StateDraining)
}

func TestPausedNodeCondemnsNobodyAndComesBack(t *testing.T) {
	fleet := start(t, procs.Options{Example: small(t), Tree: treeOf(t, "rijksbureau"), Change: quick})
	awaitAllServing(t, fleet.Members)
	sleeper := fleet.Members[1]
	require.NoError(t, sleeper.Node.Pause())
	awaitState(t, fleet.Members[2:], sleeper, member.StateDead)
	require.NoError(t, sleeper.Node.Resume())
	awaitAllServing(t, fleet.Members)
	log := sleeper.Node.Log()
	require.Contains(t, log, string(member.ReasonObserverPaused))
	require.NotContains(t, log, string(member.ReasonNoResponse))
	require.NotContains(t, log, string(member.ReasonSuspectTimeout))
}

func TestKilledNodeReturnsAsANewIncarnation(t *testing.T) {
	t.Parallel()
	fleet := start(t, procs.Options{Example: small(t), Tree: treeOf(t, "rijksbureau"), Change: quick})
	awaitAllServing(t, fleet.Members)
	victim := fleet.Members[2]
	before := statusOf(t, victim.Node).Incarnation
	require.NoError(t, victim.Node.Kill())
	awaitState(t, fleet.Members, victim, member.StateDead)
	require.NoError(t, victim.Node.Restart(t.Context()))
	require.NoError(t, victim.Node.Ready(t.Context()))
	awaitAllServing(t, fleet.Members)
	require.Greater(t, statusOf(t, victim.Node).Incarnation, before)
}

func TestDataCentresApartKeepEachOther(t *testing.T) {
	t.Parallel()
	fleet := start(t, procs.Options{Example: small(t), Tree: treeOf(t, "rijksbureau"), Linked: true, Change: quick})
	awaitAllServing(t, fleet.Members)
	apart := fleet.Members[0].Backend.DataCentre
	fleet.Links().Set(apart, fault.Fault{Silent: true})
	near := fleet.In(apart)
	for _, observer := range fleet.Members {
		if observer.Backend.DataCentre == apart {
			continue
		}
		require.Eventually(t, func() bool {
			return strings.Contains(strings.Join(statusOf(t, observer.Node).Degraded, "\n"), "data centre "+apart+" gave no answer")
		}, 30*time.Second, memberPoll)
		for _, subject := range near {
			require.Equal(t, member.StateSuspect, stateAt(t, observer, subject))
		}
	}
	time.Sleep(3 * time.Second)
	for _, observer := range fleet.Members {
		for _, each := range statusOf(t, observer.Node).Members {
			require.NotEqual(t, member.StateDead, each.State, "%s of %s", observer.Backend.Name, each.ID)
		}
	}
	fleet.Links().Set(apart, fault.Fault{})
	fleet.Links().Reset(apart)
	awaitAllServing(t, fleet.Members)
}
