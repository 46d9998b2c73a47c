package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// TestConvergenceAfterRandomFaults injects random faults. Entries must never go back to an older incarnation or version, and all views
// must agree once the faults are over.
func TestConvergenceAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(4, 24).Draw(t, "nodes")
		dataCentres := rapid.IntRange(1, 3).Draw(t, "dataCentres")
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), member.Options{
			RelayInterval: 2 * time.Second, SyncInterval: 3 * time.Second, RevisitInterval: 5 * time.Second,
		})
		sim.addConverged(count, dataCentres)
		sim.afterTick = neverRegresses(t)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			sim.injectFault(t)
			sim.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms"))*time.Millisecond, nil)
		}
		sim.loss, sim.partitioned = 0, func(string, string) bool { return false }
		for _, n := range sim.nodes {
			n.resume()
		}
		sim.run(2*time.Minute, nil)
		undetectable := sim.hasUndetectableFailure()
		if problem := sim.firstDisagreement(); problem != "" && !undetectable {
			t.Fatal(problem)
		}
	})
}

// hasUndetectableFailure reports whether some data centre has no running node left, which cannot be told from a partition, or only
// one node runs in all.
func (sim *simulation) hasUndetectableFailure() bool {
	running := map[string]int{}
	for _, n := range sim.nodes {
		running[n.entry.DataCentre] += 0
		if n.up && n.fleet.Self().State != member.StateLeft {
			running[n.entry.DataCentre]++
		}
	}
	total := 0
	for _, count := range running {
		total += count
		if count == 0 {
			return true
		}
	}

	return total == 1
}

// neverRegresses returns a check that no node's view goes back to an older incarnation or version of an entry.
func neverRegresses(t *rapid.T) func(*node) {
	type pair struct {
		observer, subject string
		generation        int
	}
	seen := map[pair]member.Entry{}

	return func(n *node) {
		for _, entry := range n.fleet.Entries(n.sim.now) {
			key := pair{observer: n.entry.ID, subject: entry.ID, generation: n.generation}
			before := seen[key]
			if entry.Incarnation < before.Incarnation {
				t.Fatalf("%s saw older incarnation %d of %s after %d", n.entry.ID, entry.Incarnation, entry.ID, before.Incarnation)
			}
			if entry.Incarnation == before.Incarnation && entry.Version < before.Version {
				t.Fatalf("%s saw older version %d of %s after %d", n.entry.ID, entry.Version, entry.ID, before.Version)
			}
			seen[key] = entry
		}
	}
}

// injectFault injects one random fault or repair.
func (sim *simulation) injectFault(t *rapid.T) {
	n := sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"loss", "cut", "heal", "kill", "restart", "pause", "resume", "leave"}).Draw(t, "fault") {
	case "loss":
		sim.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
	case "cut":
		sim.partitioned = func(a, b string) bool { return a != b && (a == "dc0" || b == "dc0") }
	case "heal":
		sim.partitioned = func(string, string) bool { return false }
	case "kill":
		n.stop()
	case "restart":
		n.stop()
		n.start(member.StateServing, sim.nodes[0].entry.ID, sim.nodes[1].entry.ID, sim.nodes[len(sim.nodes)-1].entry.ID)
	case "pause":
		n.paused = true
	case "resume":
		n.resume()
	case "leave":
		if !n.up {
			return
		}
		_ = n.fleet.SetState(sim.now, member.StateDraining)
		_ = n.fleet.SetState(sim.now, member.StateLeft)
	}
}

func TestDrainingReachesAllNodesWithinThreeSeconds(t *testing.T) {
	t.Run("without restarts", func(t *testing.T) { testDrainingSpreads(t, 1200, 0) })
	t.Run("while a quarter of the nodes restarts", func(t *testing.T) { testDrainingSpreads(t, 400, 100) })
}

// testDrainingSpreads drains one node while others restart and one message in ten is lost.
func testDrainingSpreads(t *testing.T, count, restarts int) {
	sim := newSimulation(1, member.Options{})
	sim.loss, sim.meanLatency = 0.1, 10*time.Millisecond
	sim.addConverged(count, 6)
	sim.run(time.Second, nil)
	for i := range restarts {
		sim.nodes[100+i].stop()
		sim.nodes[100+i].start(member.StateServing, sim.nodes[i].entry.ID)
	}
	draining := sim.nodes[77]
	require.NoError(t, draining.fleet.SetState(sim.now, member.StateDraining))
	startedAt, unaware, remaining := sim.now, map[string]bool{}, len(sim.nodes)-restarts
	for _, n := range sim.nodes {
		unaware[n.entry.ID] = n.generation == 1
	}
	sim.afterTick = func(n *node) {
		if unaware[n.entry.ID] && !n.view(draining.entry.ID).AcceptsCalls() {
			unaware[n.entry.ID] = false
			remaining--
		}
	}
	done := sim.run(3*time.Second, func() bool { return remaining == 0 })
	require.True(t, done, "%d nodes have not received the draining state", remaining)
	t.Logf("all %d nodes received the draining state after %s", len(sim.nodes), sim.now.Sub(startedAt))
}

// TestPausedObserverSuspectsNoNode pauses a node for 30 s: it must not take the responses that it missed for failures of other nodes.
func TestPausedObserverSuspectsNoNode(t *testing.T) {
	sim := newSimulation(2, member.Options{})
	sim.addConverged(60, 3)
	sim.run(5*time.Second, nil)
	observer := sim.nodes[7]
	observer.paused = true
	sim.run(30*time.Second, nil)
	require.Equal(t, member.StateDead, sim.nodes[8].view(observer.entry.ID).State)
	observer.events = nil
	observer.resume()
	sim.run(15*time.Second, nil)
	for _, event := range observer.events {
		require.NotEqual(t, member.ReasonNoResponse, event.Reason, "%+v", event)
		require.NotEqual(t, member.ReasonSuspectTimeout, event.Reason, "%+v", event)
	}
	require.Empty(t, sim.firstDisagreement())
}

// TestPartitionedDataCentresKeepTheirEntries partitions six data centres into halves: no node may be declared dead across the partition,
// and all views must agree soon after it heals.
func TestPartitionedDataCentresKeepTheirEntries(t *testing.T) {
	sim := newSimulation(3, member.Options{})
	sim.addConverged(90, 6)
	sim.run(5*time.Second, nil)
	sim.partitioned = func(a, b string) bool { return (a < "dc3") != (b < "dc3") }
	sim.run(5*time.Minute, nil)
	for _, n := range sim.nodes {
		for _, entry := range n.fleet.Entries(sim.now) {
			remote := (entry.DataCentre < "dc3") != (n.entry.DataCentre < "dc3")
			require.False(t, entry.State.Ended(), "%s of %s", n.entry.ID, entry.ID)
			require.Equal(t, remote, entry.State == member.StateSuspect, "%s of %s", n.entry.ID, entry.ID)
		}
		require.Len(t, n.fleet.UnreachableDataCentres(sim.now), 3)
	}
	require.NoError(t, sim.nodes[4].fleet.SetState(sim.now, member.StateDraining))
	sim.nodes[6].stop()
	sim.nodes[6].start(member.StateServing, sim.nodes[0].entry.ID)
	sim.run(10*time.Second, nil)
	sim.partitioned = func(string, string) bool { return false }
	healedAt := sim.now
	agreed := false
	for range 60 {
		sim.run(500*time.Millisecond, nil)
		if agreed = sim.firstDisagreement() == ""; agreed {
			break
		}
	}
	require.True(t, agreed, sim.firstDisagreement())
	t.Logf("all views agree %s after the partition healed", sim.now.Sub(healedAt))
}

// TestMassFailureAndRestart stops a quarter of 400 nodes at once and restarts them: each time, all views must agree within a minute.
func TestMassFailureAndRestart(t *testing.T) {
	sim := newSimulation(4, member.Options{})
	sim.addConverged(400, 4)
	sim.run(2*time.Second, nil)
	for i := range 100 {
		sim.nodes[i].stop()
	}
	startedAt := sim.now
	agreed := false
	for range 120 {
		sim.run(500*time.Millisecond, nil)
		if agreed = sim.firstDisagreement() == ""; agreed {
			break
		}
	}
	require.True(t, agreed, sim.firstDisagreement())
	t.Logf("100 of 400 nodes declared dead everywhere after %s", sim.now.Sub(startedAt))
	startedAt = sim.now
	for i := range 100 {
		sim.nodes[i].start(member.StateServing, sim.nodes[200+i].entry.ID)
	}
	for range 120 {
		sim.run(500*time.Millisecond, nil)
		if agreed = sim.firstDisagreement() == ""; agreed {
			break
		}
	}
	require.True(t, agreed, sim.firstDisagreement())
	t.Logf("100 restarted nodes known everywhere after %s", sim.now.Sub(startedAt))
}

func TestUnreachableDataCentreIsDeclaredDeadAfterTimeout(t *testing.T) {
	sim := newSimulation(5, member.Options{UnreachableTimeout: time.Minute, TombstoneExpiry: 5 * time.Minute})
	sim.addConverged(12, 2)
	for i := 0; i < 12; i += 2 {
		sim.nodes[i].stop()
	}
	sim.run(50*time.Second, nil)
	require.Equal(t, member.StateSuspect, sim.nodes[1].view("n0000").State)
	sim.run(30*time.Second, nil)
	require.Equal(t, member.StateDead, sim.nodes[1].view("n0000").State)
	sim.run(7*time.Minute, nil)
	require.Nil(t, sim.nodes[1].view("n0000"))
}

// TestLongPausedNodeDoesNotRestoreDeadNodes pauses a node until a tombstone has expired at the others: it must not spread its old
// entry of the dead node.
func TestLongPausedNodeDoesNotRestoreDeadNodes(t *testing.T) {
	sim := newSimulation(6, member.Options{TombstoneExpiry: time.Minute})
	sim.addConverged(12, 2)
	pausedNode := sim.nodes[0]
	pausedNode.paused = true
	sim.nodes[2].stop()
	sim.run(3*time.Minute, nil)
	require.Nil(t, sim.nodes[1].view("n0002"))
	sim.afterTick = func(n *node) {
		if n != pausedNode && n.view("n0002") != nil {
			t.Errorf("%s has restored the dead node", n.entry.ID)
		}
	}
	pausedNode.resume()
	sim.run(time.Minute, nil)
	require.Empty(t, sim.firstDisagreement())
}

// TestNameConflictRaisesIncarnation restarts a process whose clock was set back: its incarnation is lower than one that the fleet has
// seen under its ID, and without a raise the fleet would ignore the new process.
func TestNameConflictRaisesIncarnation(t *testing.T) {
	sim := newSimulation(7, member.Options{})
	sim.addConverged(6, 1)
	restarted := sim.nodes[3]
	restarted.stop()
	restarted.incarnation = 0
	sim.nodes[3].entry.Incarnation = 0
	sim.run(3*time.Second, nil)
	sim.nodes[4].fleet.Merge(sim.now, member.Update{Entry: &member.Entry{ID: "n0003", Incarnation: 9, State: member.StateServing, Control: "n0003"}})
	restarted.start(member.StateServing, "n0004")
	sim.run(20*time.Second, nil)
	require.Greater(t, restarted.fleet.Self().Incarnation, uint64(9))
	require.Empty(t, sim.firstDisagreement())
}

// TestSimultaneousStartConvergesWithinASecond starts all nodes of a fleet at once, as after a total failure: none knows more than the
// contacts from before.
func TestSimultaneousStartConvergesWithinASecond(t *testing.T) {
	for seed := range uint64(20) {
		sim := newSimulation(seed, member.Options{})
		for i := range 18 {
			sim.add(fmt.Sprintf("n%04d", i), fmt.Sprint("dc", i%4))
		}
		for _, n := range sim.nodes {
			n.start(member.StateServing)
		}
		sim.run(300*time.Millisecond, nil)
		for _, n := range sim.nodes {
			n.fleet.AddContacts([]string{"n0000", "n0001", "n0002", "n0003", "n0004", "n0005", "n0006", "n0007"})
		}
		converged := func() bool {
			for _, n := range sim.nodes {
				for _, other := range sim.nodes {
					if n.view(other.entry.ID) == nil {
						return false
					}
				}
			}

			return true
		}
		require.True(t, sim.run(time.Second, converged), "seed %d", seed)
	}
}

func TestOwnTransitionsAreValidated(t *testing.T) {
	now := epoch
	fleet := member.New(member.Entry{ID: "a", State: member.StateStarting}, member.Options{}, now)
	require.NoError(t, fleet.SetState(now, member.StateWarming))
	require.NoError(t, fleet.SetState(now, member.StateServing))
	require.ErrorIs(t, fleet.SetState(now, member.StateSuspect), member.ErrTransition)
	require.NoError(t, fleet.SetState(now, member.StateDraining))
	require.NoError(t, fleet.SetState(now, member.StateServing))
	require.NoError(t, fleet.SetState(now, member.StateDraining))
	require.NoError(t, fleet.SetState(now, member.StateLeft))
	require.ErrorIs(t, fleet.SetState(now, member.StateServing), member.ErrTransition)
	require.Equal(t, uint64(6), fleet.Self().Version)
}
