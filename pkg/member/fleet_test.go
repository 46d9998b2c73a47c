package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// TestFaultsThenCalm brings about random faults and asks that no entry ever goes back, and that all agree in the end.
func TestFaultsThenCalm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(4, 24).Draw(t, "nodes")
		dataCentres := rapid.IntRange(1, 3).Draw(t, "dataCentres")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), member.Options{RelayInterval: 2 * time.Second, SyncInterval: 3 * time.Second, RevisitInterval: 5 * time.Second})
		w.fill(count, dataCentres)
		w.check = noReturn(t)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			w.fault(t)
			w.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms"))*time.Millisecond, nil)
		}
		w.loss, w.cut = 0, func(string, string) bool { return false }
		for _, n := range w.nodes {
			n.resume()
		}
		w.run(2*time.Minute, nil)
		lonely := w.lonely()
		if problem := w.disagreement(); problem != "" && !lonely {
			t.Fatal(problem)
		}
	})
}

// lonely reports whether some data centre has no running node left, so that its end cannot be told from a cut.
func (w *world) lonely() bool {
	running := map[string]int{}
	for _, n := range w.nodes {
		running[n.entry.DataCentre] += 0
		if n.up && n.fleet.Self().State != member.StateLeft {
			running[n.entry.DataCentre]++
		}
	}
	all := 0
	for _, count := range running {
		all += count
		if count == 0 {
			return true
		}
	}

	return all == 1
}

// noReturn returns a check that what a node believes of another one only goes forward.
func noReturn(t *rapid.T) func(*node) {
	type pair struct {
		observer, subject string
		life              int
	}
	seen := map[pair]member.Entry{}

	return func(n *node) {
		for _, entry := range n.fleet.Entries(n.world.now) {
			key := pair{observer: n.entry.ID, subject: entry.ID, life: n.life}
			before := seen[key]
			if entry.Incarnation < before.Incarnation {
				t.Fatalf("%s: incarnation %d of %s returned after %d", n.entry.ID, entry.Incarnation, entry.ID, before.Incarnation)
			}
			if entry.Incarnation == before.Incarnation && entry.Version < before.Version {
				t.Fatalf("%s: version %d of %s returned after %d", n.entry.ID, entry.Version, entry.ID, before.Version)
			}
			seen[key] = entry
		}
	}
}

// fault does one random thing to the world.
func (w *world) fault(t *rapid.T) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"loss", "cut", "heal", "kill", "restart", "pause", "resume", "leave"}).Draw(t, "fault") {
	case "loss":
		w.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
	case "cut":
		w.cut = func(a, b string) bool { return a != b && (a == "dc0" || b == "dc0") }
	case "heal":
		w.cut = func(string, string) bool { return false }
	case "kill":
		n.stop()
	case "restart":
		n.stop()
		n.start(member.StateServing, w.nodes[0].entry.ID, w.nodes[1].entry.ID, w.nodes[len(w.nodes)-1].entry.ID)
	case "pause":
		n.paused = true
	case "resume":
		n.resume()
	case "leave":
		if !n.up {
			return
		}
		_ = n.fleet.SetState(w.now, member.StateDraining)
		_ = n.fleet.SetState(w.now, member.StateLeft)
	}
}

func TestLeaverIsKnownToAllWithinThreeSeconds(t *testing.T) {
	t.Run("at rest", func(t *testing.T) { leave(t, 1200, 0) })
	t.Run("while a quarter restarts", func(t *testing.T) { leave(t, 400, 100) })
}

// leave lets one of many nodes drain while others restart and one message in ten is lost.
func leave(t *testing.T, count, restarts int) {
	w := newWorld(1, member.Options{})
	w.loss, w.delay = 0.1, 10*time.Millisecond
	w.fill(count, 6)
	w.run(time.Second, nil)
	for i := range restarts {
		w.nodes[100+i].stop()
		w.nodes[100+i].start(member.StateServing, w.nodes[i].entry.ID)
	}
	leaver := w.nodes[77]
	require.NoError(t, leaver.fleet.SetState(w.now, member.StateDraining))
	began, unaware, left := w.now, map[string]bool{}, len(w.nodes)-restarts
	for _, n := range w.nodes {
		unaware[n.entry.ID] = n.life == 1
	}
	w.check = func(n *node) {
		if unaware[n.entry.ID] && !n.view(leaver.entry.ID).AcceptsCalls() {
			unaware[n.entry.ID] = false
			left--
		}
	}
	done := w.run(3*time.Second, func() bool { return left == 0 })
	require.True(t, done, "%d nodes do not know", left)
	t.Logf("all of %d nodes know after %s", len(w.nodes), w.now.Sub(began))
}

func TestPausedObserverCondemnsNobody(t *testing.T) {
	w := newWorld(2, member.Options{})
	w.fill(60, 3)
	w.run(5*time.Second, nil)
	observer := w.nodes[7]
	observer.paused = true
	w.run(30*time.Second, nil)
	require.Equal(t, member.StateDead, w.nodes[8].view(observer.entry.ID).State)
	observer.events = nil
	observer.resume()
	w.run(15*time.Second, nil)
	for _, event := range observer.events {
		require.NotEqual(t, member.ReasonNoResponse, event.Reason, "%+v", event)
		require.NotEqual(t, member.ReasonSuspectTimeout, event.Reason, "%+v", event)
	}
	require.Empty(t, w.disagreement())
}

func TestRegionsApartKeepEachOther(t *testing.T) {
	w := newWorld(3, member.Options{})
	w.fill(90, 6)
	w.run(5*time.Second, nil)
	w.cut = func(a, b string) bool { return (a < "dc3") != (b < "dc3") }
	w.run(5*time.Minute, nil)
	for _, n := range w.nodes {
		for _, entry := range n.fleet.Entries(w.now) {
			far := (entry.DataCentre < "dc3") != (n.entry.DataCentre < "dc3")
			require.False(t, entry.State.Ended(), "%s of %s", n.entry.ID, entry.ID)
			require.Equal(t, far, entry.State == member.StateSuspect, "%s of %s", n.entry.ID, entry.ID)
		}
		require.Len(t, n.fleet.UnreachableDataCentres(w.now), 3)
	}
	require.NoError(t, w.nodes[4].fleet.SetState(w.now, member.StateDraining))
	w.nodes[6].stop()
	w.nodes[6].start(member.StateServing, w.nodes[0].entry.ID)
	w.run(10*time.Second, nil)
	w.cut = func(string, string) bool { return false }
	began := w.now
	agreed := false
	for range 60 {
		w.run(500*time.Millisecond, nil)
		if agreed = w.disagreement() == ""; agreed {
			break
		}
	}
	require.True(t, agreed, w.disagreement())
	t.Logf("all agree %s after the cut healed", w.now.Sub(began))
}

func TestRackFailsAndMassRestart(t *testing.T) {
	w := newWorld(4, member.Options{})
	w.fill(400, 4)
	w.run(2*time.Second, nil)
	for i := range 100 {
		w.nodes[i].stop()
	}
	began := w.now
	agreed := false
	for range 120 {
		w.run(500*time.Millisecond, nil)
		if agreed = w.disagreement() == ""; agreed {
			break
		}
	}
	require.True(t, agreed, w.disagreement())
	t.Logf("100 of 400 nodes known dead after %s", w.now.Sub(began))
	began = w.now
	for i := range 100 {
		w.nodes[i].start(member.StateServing, w.nodes[200+i].entry.ID)
	}
	for range 120 {
		w.run(500*time.Millisecond, nil)
		if agreed = w.disagreement() == ""; agreed {
			break
		}
	}
	require.True(t, agreed, w.disagreement())
	t.Logf("100 restarted nodes known after %s", w.now.Sub(began))
}

func TestUnreachableDataCentreIsGivenUpAfterTheHold(t *testing.T) {
	w := newWorld(5, member.Options{UnreachableTimeout: time.Minute, TombstoneExpiry: 5 * time.Minute})
	w.fill(12, 2)
	for i := 0; i < 12; i += 2 {
		w.nodes[i].stop()
	}
	w.run(50*time.Second, nil)
	require.Equal(t, member.StateSuspect, w.nodes[1].view("n0000").State)
	w.run(30*time.Second, nil)
	require.Equal(t, member.StateDead, w.nodes[1].view("n0000").State)
	w.run(7*time.Minute, nil)
	require.Nil(t, w.nodes[1].view("n0000"))
}

func TestLongPausedNodeBringsNobodyBack(t *testing.T) {
	w := newWorld(6, member.Options{TombstoneExpiry: time.Minute})
	w.fill(12, 2)
	sleeper := w.nodes[0]
	sleeper.paused = true
	w.nodes[2].stop()
	w.run(3*time.Minute, nil)
	require.Nil(t, w.nodes[1].view("n0002"))
	w.check = func(n *node) {
		if n != sleeper && n.view("n0002") != nil {
			t.Errorf("%s knows the dead node again", n.entry.ID)
		}
	}
	sleeper.resume()
	w.run(time.Minute, nil)
	require.Empty(t, w.disagreement())
}

func TestSecondProcessOfTheSameNameIsToldApart(t *testing.T) {
	w := newWorld(7, member.Options{})
	w.fill(6, 1)
	clockBehind := w.nodes[3]
	clockBehind.stop()
	clockBehind.incarnation = 0
	w.nodes[3].entry.Incarnation = 0
	w.run(3*time.Second, nil)
	w.nodes[4].fleet.Merge(w.now, member.Update{Entry: &member.Entry{ID: "n0003", Incarnation: 9, State: member.StateServing, Control: "n0003"}})
	clockBehind.start(member.StateServing, "n0004")
	w.run(20*time.Second, nil)
	require.Greater(t, clockBehind.fleet.Self().Incarnation, uint64(9))
	require.Empty(t, w.disagreement())
}

// The load is a fleet whose nodes are all killed and started again at once, with no more than the contacts of before.
func TestNodesThatStartTogetherKnowEachOtherWithinASecond(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed, member.Options{})
		for i := range 18 {
			w.add(fmt.Sprintf("n%04d", i), fmt.Sprint("dc", i%4))
		}
		for _, n := range w.nodes {
			n.start(member.StateServing)
		}
		w.run(300*time.Millisecond, nil)
		for _, n := range w.nodes {
			n.fleet.AddContacts([]string{"n0000", "n0001", "n0002", "n0003", "n0004", "n0005", "n0006", "n0007"})
		}
		all := func() bool {
			for _, n := range w.nodes {
				for _, other := range w.nodes {
					if n.view(other.entry.ID) == nil {
						return false
					}
				}
			}

			return true
		}
		require.True(t, w.run(time.Second, all), "seed %d", seed)
	}
}

func TestOwnLifeIsChecked(t *testing.T) {
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
