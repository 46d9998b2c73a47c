package shed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

const step = 50 * time.Millisecond

// needs are services that call trees reach as often as the heaviest of them.
func needs(services ...string) []shed.Need {
	found := make([]shed.Need, 0, len(services))
	for _, service := range services {
		found = append(found, shed.Need{Service: service, Weight: 1})
	}

	return found
}

func TestDecide(t *testing.T) {
	now := time.Now()
	board := shed.NewLevelTable()
	board.Observe(now, "alarm", 0.6)
	board.Observe(now, "keuring", 1)
	for name, test := range map[string]struct {
		demand   shed.Request
		admitted bool
		service  string
	}{
		"most important":             {shed.Request{Priority: 0, LowestPriority: 2, Random: 0.99, Needs: needs("alarm")}, true, "alarm"},
		"least important, low draw":  {shed.Request{Priority: 2, LowestPriority: 2, Random: 0.1, Needs: needs("alarm")}, true, "alarm"},
		"least important, high draw": {shed.Request{Priority: 2, LowestPriority: 2, Random: 0.3, Needs: needs("keuring", "alarm")}, false, "alarm"},
		"other services":             {shed.Request{Priority: 2, LowestPriority: 2, Random: 0.9, Needs: needs("keuring")}, true, ""},
		"unheard of":                 {shed.Request{Priority: 2, LowestPriority: 2, Random: 0.9, Needs: needs("archief")}, true, ""},
		"one priority for all":       {shed.Request{Random: 0.1, Needs: needs("alarm")}, true, "alarm"},
	} {
		t.Run(name, func(t *testing.T) {
			decision := board.Decide(now, test.demand)
			require.Equal(t, test.admitted, decision.Admitted)
			require.Equal(t, test.service, decision.Service)
			if !test.admitted {
				require.Equal(t, call.ReasonOverload, decision.Reason)
			}
		})
	}
}

func TestMoreImportantIsNeverRefusedBeforeLessImportant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lowest := rapid.IntRange(1, 9).Draw(t, "lowest")
		high := rapid.IntRange(0, lowest-1).Draw(t, "high")
		low := rapid.IntRange(high+1, lowest).Draw(t, "low")
		now := time.Now()
		board := shed.NewLevelTable()
		board.Observe(now, "alarm", rapid.Float64Range(0, 1).Draw(t, "level"))
		ask := func(priority int, name string) bool {
			return board.Decide(now, shed.Request{
				Priority: priority, LowestPriority: lowest, Random: rapid.Float64Range(0, 0.999).Draw(t, name), Needs: needs("alarm"),
			}).Admitted
		}
		if ask(low, "low draw") {
			require.True(t, ask(high, "high draw"))
		}
	})
}

// A request of few calls comes nearer to the next more important ones, but never ahead of one with the same draw.
func TestALightRequestIsNeverAheadOfAMoreImportantOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lowest := rapid.IntRange(1, 9).Draw(t, "lowest")
		low := rapid.IntRange(1, lowest).Draw(t, "low")
		draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
		light, heavy := rapid.Float64Range(0, 1).Draw(t, "light"), rapid.Float64Range(0, 1).Draw(t, "heavy")
		demand := shed.Request{Priority: low, LowestPriority: lowest, Random: draw}
		above := shed.Request{Priority: low - 1, LowestPriority: lowest, Random: draw}
		require.GreaterOrEqual(t, demand.Rank(light), above.Rank(1))
		require.LessOrEqual(t, demand.Rank(min(light, heavy)), demand.Rank(max(light, heavy)))
		least := shed.Request{Priority: lowest, LowestPriority: lowest, Random: draw}
		require.InDelta(t, least.Rank(1), least.Rank(light), 1e-9, "the least important make room first, whatever they need")
	})
}

// The load is a surge in which the most important requests alone ask for twice the room of a service that each calls eight times; a
// less important request calls it once. Both are served about equally often, as refusing all of the light ones would make room for few.
func TestLightRequestsAreServedBesideHeavyOnes(t *testing.T) {
	now, rng := time.Now(), rand.New(rand.NewPCG(1, 2))
	controller := shed.NewController(now)
	const heavyRate, lightRate, heavyCalls, room = 100, 80, 8, 400
	heavy, light, steps := 0, 0, 0
	for ; steps < 400; steps++ {
		now = now.Add(step)
		board := shed.NewLevelTable()
		board.Observe(now, "alarm", controller.Level())
		ask := func(priority int, weight float64) int {
			need := shed.Need{Service: "alarm", Weight: weight}
			if board.Decide(now, shed.Request{Priority: priority, LowestPriority: 2, Random: rng.Float64(), Needs: []shed.Need{need}}).Admitted {
				return 1
			}

			return 0
		}
		calls := 0
		for range heavyRate {
			if ask(0, 1) == 1 {
				calls += heavyCalls
				heavy++
			}
		}
		for range lightRate {
			admitted := ask(1, 1.0/heavyCalls)
			light += admitted
			calls += admitted
		}
		controller.Observe(now, float64(min(calls, 3*room))/room)
	}
	heavyShare, lightShare := float64(heavy)/float64(heavyRate*steps), float64(light)/float64(lightRate*steps)
	require.InDelta(t, heavyShare, lightShare, 0.15)
	require.Less(t, lightShare, heavyShare+0.05, "never before the more important")
}

// tries are the requests of one kind in a second, those that come back included, with their calls to the service that binds.
type tries struct {
	priority int
	count    int
	calls    float64
}

// The load is that of a deployment which has lost three of four servers of its deepest service, as its nodes counted it: the most important
// requests alone ask for five times the calls that are left. At the level that uses this room, a quarter of the clients must be served.
func TestAQuarterIsServedWithOneServerOfFourLeft(t *testing.T) {
	const clients, room, heaviest = 574, 550, 8
	kinds := []tries{{0, 360, heaviest}, {2, 800, heaviest}, {1, 190, 1.6}}
	const withoutCalls = 42
	now := time.Now()
	served := 0
	for level := 0.0; level < 1; level += 0.001 {
		board := shed.NewLevelTable()
		board.Observe(now, "alarm", level)
		calls, admitted := 0.0, withoutCalls
		for _, kind := range kinds {
			for i := range kind.count {
				need := shed.Need{Service: "alarm", Weight: kind.calls / heaviest}
				demand := shed.Request{Priority: kind.priority, LowestPriority: 2, Random: float64(i) / float64(kind.count), Needs: []shed.Need{need}}
				if board.Decide(now, demand).Admitted {
					calls += kind.calls
					admitted++
				}
			}
		}
		if calls <= room {
			served = max(served, admitted)
		}
	}
	require.GreaterOrEqual(t, float64(served)/clients, 0.25)
}

func TestLevelWithoutReportsOpens(t *testing.T) {
	now := time.Now()
	board := shed.NewLevelTable()
	board.Observe(now, "alarm", 0)
	require.Zero(t, board.Level(now.Add(time.Second), "alarm"))
	require.InDelta(t, 1.0, board.Level(now.Add(5*time.Second), "alarm"), 0.001)
}

// fleet is the load that the level answers to: call trees of two priorities, whose calls reach the service after a while.
type fleet struct {
	controllers []*shed.Controller
	// pending holds the calls that are on their way, by step.
	pending []float64
	queue   float64
}

// treeSteps is the time from the admission of a call tree to its calls at the service.
const treeSteps = 12

// play runs for a while with an offered load in multiples of the capacity, and returns the share of the capacity that served.
func (f *fleet) play(now *time.Time, steps int, vital, bulk float64) (used, vitalServed float64) {
	admittedVital, offeredVital := 0.0, 0.0
	for range steps {
		*now = now.Add(step)
		board := shed.NewLevelTable()
		for _, c := range f.controllers {
			board.Observe(*now, "alarm", c.Level())
		}
		level := board.Level(*now, "alarm")
		vitalShare, bulkShare := min(level/0.5, 1), max(level-0.5, 0)/0.5
		arriving := vital*vitalShare + bulk*bulkShare
		admittedVital += vital * vitalShare
		offeredVital += vital
		f.pending = append(f.pending, arriving)
		f.queue = min(f.queue+f.pending[len(f.pending)-treeSteps], 3)
		served := min(f.queue, 1)
		f.queue -= served
		used += served
		for _, c := range f.controllers {
			c.Observe(*now, served+f.queue)
			c.AverageWith(*now, level)
		}
	}

	return used / float64(steps), admittedVital / offeredVital
}

func newFleet(now time.Time, servers int) *fleet {
	f := &fleet{pending: make([]float64, treeSteps)}
	for range servers {
		f.controllers = append(f.controllers, shed.NewController(now))
	}

	return f
}

// The load is a surge to twice the capacity on a service that call trees reach late, as on the platform's heaviest days.
func TestSurgeKeepsTheServiceBusyAndTheImportantServed(t *testing.T) {
	now := time.Now()
	f := newFleet(now, 4)
	f.play(&now, 2*treeSteps, 0.3, 0.4)
	used, vital := f.play(&now, 100, 0.3, 0.4)
	require.Greater(t, used, 0.69, "a calm load is not refused")
	require.InDelta(t, 1.0, vital, 0.001)
	f.play(&now, 100, 0.5, 1.5)
	used, vital = f.play(&now, 300, 0.5, 1.5)
	require.Greater(t, used, 0.75)
	require.Greater(t, vital, 0.95)
	f.play(&now, 100, 0.3, 0.4)
	used, _ = f.play(&now, 100, 0.3, 0.4)
	require.Greater(t, used, 0.69, "the level opens again after the surge")
}

func TestServersOfOneServiceSettleOnOneLevel(t *testing.T) {
	now := time.Now()
	rng := rand.New(rand.NewPCG(1, 2))
	slow, fast := shed.NewController(now), shed.NewController(now)
	beliefs := shed.NewLevelTable()
	for range 600 {
		now = now.Add(step)
		slow.Observe(now, 0.95+0.1*rng.Float64())
		fast.Observe(now, 0.7+0.1*rng.Float64())
		beliefs.Observe(now, "alarm", slow.Integral())
		beliefs.Observe(now, "alarm", fast.Integral())
		slow.AverageWith(now, beliefs.Level(now, "alarm"))
		fast.AverageWith(now, beliefs.Level(now, "alarm"))
	}
	require.InDelta(t, slow.Integral(), fast.Integral(), 0.15)
}
