package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// TestRestartedNodeIsFoundWithoutContacts restarts a node while the platform's table, and with it every contact, is away: the others call
// its address until it answers.
func TestRestartedNodeIsFoundWithoutContacts(t *testing.T) {
	tests := map[string]struct {
		leaves bool
		down   time.Duration
	}{
		"planned stop":                {leaves: true, down: 1300 * time.Millisecond},
		"planned stop, slow to start": {leaves: true, down: 10 * time.Second},
		"killed":                      {down: 1300 * time.Millisecond},
		"killed, slow to start":       {down: 15 * time.Second},
	}
	for name, test := range tests {
		for _, count := range []int{4, 13, 96} {
			t.Run(fmt.Sprintf("%s, %d nodes", name, count), func(t *testing.T) {
				sim := newSimulation(uint64(count), member.Options{})
				sim.addConverged(count, 3)
				sim.run(2*time.Second, nil)
				restarted := sim.nodes[count/2]
				if test.leaves {
					require.NoError(t, restarted.fleet.SetState(sim.now, member.StateDraining))
					sim.run(time.Second, nil)
					require.NoError(t, restarted.fleet.SetState(sim.now, member.StateLeft))
					sim.run(time.Second, nil)
				}
				restarted.stop()
				sim.run(test.down, nil)
				restarted.start(member.StateServing)
				found := false
				for waited := time.Duration(0); !found && waited < maxFindTime; waited += findStep {
					sim.run(findStep, nil)
					found = sim.firstDisagreement() == ""
				}
				require.True(t, found, sim.firstDisagreement())
			})
		}
	}
}

const (
	// maxFindTime is the time in which all nodes know a restarted one.
	maxFindTime = 3 * time.Second
	findStep    = 100 * time.Millisecond
)

// TestNodeThatStaysAwayCostsFewCalls removes a node for good: in the whole fleet, its address is called about once in a gossip interval,
// and hardly at all once it has been away for a minute.
func TestNodeThatStaysAwayCostsFewCalls(t *testing.T) {
	const span = 10 * time.Second
	// one call in every gossip interval, and a fifth more by chance
	const maxProbes = 60
	for _, count := range []int{13, 96} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			sim := newSimulation(1, member.Options{})
			sim.addConverged(count, 3)
			sim.run(2*time.Second, nil)
			removed := sim.nodes[count/2]
			require.NoError(t, removed.fleet.SetState(sim.now, member.StateDraining))
			require.NoError(t, removed.fleet.SetState(sim.now, member.StateLeft))
			sim.run(2*time.Second, nil)
			removed.stop()
			calls := func() int {
				before := removed.received
				sim.run(span, nil)

				return removed.received - before
			}
			sent := calls()
			require.NotZero(t, sent)
			require.LessOrEqual(t, sent, maxProbes)
			sim.run(time.Minute, nil)
			require.Less(t, calls(), count)
		})
	}
}

// TestSurvivorProbesFewNodesAtATime leaves one node of many: it must not call all others in each gossip interval.
func TestSurvivorProbesFewNodesAtATime(t *testing.T) {
	const count, perInterval = 400, 8
	sim := newSimulation(2, member.Options{})
	sim.addConverged(count, 2)
	sim.run(time.Second, nil)
	for _, n := range sim.nodes[1:] {
		require.NoError(t, n.fleet.SetState(sim.now, member.StateDraining))
		require.NoError(t, n.fleet.SetState(sim.now, member.StateLeft))
	}
	sim.run(2*time.Second, nil)
	for _, n := range sim.nodes[1:] {
		n.stop()
	}
	sent := sim.sent
	sim.run(10*time.Second, nil)
	// two calls a second at most for contacts, old entries and digests
	require.LessOrEqual(t, sim.sent-sent, 10*(5*perInterval+2)*6/5)
}
