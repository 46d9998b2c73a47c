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

// needs returns the services as needs of weight 1.
func needs(services ...string) []shed.Need {
	list := make([]shed.Need, 0, len(services))
	for _, service := range services {
		list = append(list, shed.Need{Service: service, Weight: 1})
	}

	return list
}

func TestDecide(t *testing.T) {
	now := time.Now()
	table := shed.NewLevelTable()
	table.Observe(now, "alarm", 0.6)
	table.Observe(now, "keuring", 1)
	for name, test := range map[string]struct {
		request  shed.Request
		admitted bool
		service  string
	}{
		"most important":               {shed.Request{Priority: 0, LowestPriority: 2, Random: 0.99, Needs: needs("alarm")}, true, "alarm"},
		"least important, low random":  {shed.Request{Priority: 2, LowestPriority: 2, Random: 0.1, Needs: needs("alarm")}, true, "alarm"},
		"least important, high random": {shed.Request{Priority: 2, LowestPriority: 2, Random: 0.3, Needs: needs("keuring", "alarm")}, false, "alarm"},
		"other services":               {shed.Request{Priority: 2, LowestPriority: 2, Random: 0.9, Needs: needs("keuring")}, true, ""},
		"no report":                    {shed.Request{Priority: 2, LowestPriority: 2, Random: 0.9, Needs: needs("archief")}, true, ""},
		"one priority for all":         {shed.Request{Random: 0.1, Needs: needs("alarm")}, true, "alarm"},
	} {
		t.Run(name, func(t *testing.T) {
			decision := table.Decide(now, test.request)
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
		table := shed.NewLevelTable()
		table.Observe(now, "alarm", rapid.Float64Range(0, 1).Draw(t, "level"))
		admitted := func(priority int, name string) bool {
			return table.Decide(now, shed.Request{
				Priority: priority, LowestPriority: lowest, Random: rapid.Float64Range(0, 0.999).Draw(t, name), Needs: needs("alarm"),
			}).Admitted
		}
		if admitted(low, "low draw") {
			require.True(t, admitted(high, "high draw"))
		}
	})
}

// A low weight moves the rank towards that of the next more important priority, but never below it for the same random number.
func TestLowWeightNeverPrecedesMoreImportantRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lowest := rapid.IntRange(1, 9).Draw(t, "lowest")
		low := rapid.IntRange(1, lowest).Draw(t, "low")
		random := rapid.Float64Range(0, 0.999).Draw(t, "draw")
		light, heavy := rapid.Float64Range(0, 1).Draw(t, "light"), rapid.Float64Range(0, 1).Draw(t, "heavy")
		request := shed.Request{Priority: low, LowestPriority: lowest, Random: random}
		moreImportant := shed.Request{Priority: low - 1, LowestPriority: lowest, Random: random}
		require.GreaterOrEqual(t, request.Rank(light), moreImportant.Rank(1))
		require.LessOrEqual(t, request.Rank(min(light, heavy)), request.Rank(max(light, heavy)))
		leastImportant := shed.Request{Priority: lowest, LowestPriority: lowest, Random: random}
		require.InDelta(t, leastImportant.Rank(1), leastImportant.Rank(light), 1e-9, "must not depend on the weight")
	})
}

// In a surge, the most important requests alone need twice the capacity of a service that each of them calls eight times; a less
// important request calls it once. Both must be served about equally often, as refusing all light requests would free little capacity.
func TestLightRequestsAreServedAlongsideHeavyOnes(t *testing.T) {
	now, rng := time.Now(), rand.New(rand.NewPCG(1, 2))
	controller := shed.NewController(now)
	const heavyRate, lightRate, heavyCalls, capacity = 100, 80, 8, 400
	heavy, light, steps := 0, 0, 0
	for ; steps < 400; steps++ {
		now = now.Add(step)
		table := shed.NewLevelTable()
		table.Observe(now, "alarm", controller.Level())
		admittedCount := func(priority int, weight float64) int {
			need := shed.Need{Service: "alarm", Weight: weight}
			if table.Decide(now, shed.Request{Priority: priority, LowestPriority: 2, Random: rng.Float64(), Needs: []shed.Need{need}}).Admitted {
				return 1
			}

			return 0
		}
		calls := 0
		for range heavyRate {
			if admittedCount(0, 1) == 1 {
				calls += heavyCalls
				heavy++
			}
		}
		for range lightRate {
			admitted := admittedCount(1, 1.0/heavyCalls)
			light += admitted
			calls += admitted
		}
		controller.Observe(now, float64(min(calls, 3*capacity))/capacity)
	}
	heavyShare, lightShare := float64(heavy)/float64(heavyRate*steps), float64(light)/float64(lightRate*steps)
	require.InDelta(t, heavyShare, lightShare, 0.15)
	require.Less(t, lightShare, heavyShare+0.05, "light requests must not be preferred to more important ones")
}

func TestLightRequestsAreRefusedNoMoreThanHeavierMoreImportantOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lowest := rapid.IntRange(2, 9).Draw(t, "lowest")
		light := rapid.IntRange(1, lowest-1).Draw(t, "light")
		now := time.Now()
		table := shed.NewLevelTable()
		table.Observe(now, "alarm", rapid.Float64Range(0, 1).Draw(t, "level"))
		random, weight := rapid.Float64Range(0, 0.999).Draw(t, "draw"), rapid.Float64Range(0, 0.25).Draw(t, "weight")
		admitted := func(priority int, weight float64) bool {
			return table.Decide(now, shed.Request{
				Priority: priority, LowestPriority: lowest, Random: random, Needs: []shed.Need{{Service: "alarm", Weight: weight}},
			}).Admitted
		}
		require.Equal(t, admitted(light-1, 1), admitted(light, weight))
	})
}

// kindLoad is the number of requests of one kind per second, retries included, and the calls per request to the overloaded service.
type kindLoad struct {
	priority int
	count    int
	calls    float64
}

// A deployment has lost three of four servers of the service at the bottom of its call trees; the loads are those that its nodes counted.
// The most important requests alone need five times the remaining capacity. At the level that uses this capacity, a quarter of the
// clients must be served.
func TestAQuarterIsServedWithOneServerOfFourLeft(t *testing.T) {
	const clients, capacity, maxCalls = 574, 550, 8
	kinds := []kindLoad{{0, 360, maxCalls}, {2, 800, maxCalls}, {1, 190, 1.6}}
	const withoutCalls = 42
	now := time.Now()
	served := 0
	for level := 0.0; level < 1; level += 0.001 {
		table := shed.NewLevelTable()
		table.Observe(now, "alarm", level)
		calls, admitted := 0.0, withoutCalls
		for _, kind := range kinds {
			for i := range kind.count {
				need := shed.Need{Service: "alarm", Weight: kind.calls / maxCalls}
				request := shed.Request{Priority: kind.priority, LowestPriority: 2, Random: float64(i) / float64(kind.count), Needs: []shed.Need{need}}
				if table.Decide(now, request).Admitted {
					calls += kind.calls
					admitted++
				}
			}
		}
		if calls <= capacity {
			served = max(served, admitted)
		}
	}
	require.GreaterOrEqual(t, float64(served)/clients, 0.25)
}

func TestStaleLevelRises(t *testing.T) {
	now := time.Now()
	table := shed.NewLevelTable()
	table.Observe(now, "alarm", 0)
	require.Zero(t, table.Level(now.Add(time.Second), "alarm"))
	require.InDelta(t, 1.0, table.Level(now.Add(5*time.Second), "alarm"), 0.001)
}

// fleet simulates the servers of one service under call trees of two priorities, whose calls reach the service after a delay.
type fleet struct {
	controllers []*shed.Controller
	// pending holds the admitted calls by step of admission; they reach the service callDelaySteps later.
	pending []float64
	queue   float64
}

// callDelaySteps is the number of steps from the admission of a call tree to its calls at the service.
const callDelaySteps = 12

// run simulates steps with offered loads in multiples of the capacity. It returns the share of the capacity that was used and the share
// of the vital load that was admitted.
func (f *fleet) run(now *time.Time, steps int, vital, bulk float64) (used, vitalServed float64) {
	admittedVital, offeredVital := 0.0, 0.0
	for range steps {
		*now = now.Add(step)
		table := shed.NewLevelTable()
		for _, c := range f.controllers {
			table.Observe(*now, "alarm", c.Level())
		}
		level := table.Level(*now, "alarm")
		vitalShare, bulkShare := min(level/0.5, 1), max(level-0.5, 0)/0.5
		arriving := vital*vitalShare + bulk*bulkShare
		admittedVital += vital * vitalShare
		offeredVital += vital
		f.pending = append(f.pending, arriving)
		f.queue = min(f.queue+f.pending[len(f.pending)-callDelaySteps], 3)
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
	f := &fleet{pending: make([]float64, callDelaySteps)}
	for range servers {
		f.controllers = append(f.controllers, shed.NewController(now))
	}

	return f
}

// A surge to twice the capacity hits a service that call trees reach late. Most of the capacity must stay in use, nearly all important
// requests must be admitted, and everything must be admitted again afterwards.
func TestSurgeKeepsTheServiceBusyAndTheImportantServed(t *testing.T) {
	now := time.Now()
	f := newFleet(now, 4)
	f.run(&now, 2*callDelaySteps, 0.3, 0.4)
	used, vital := f.run(&now, 100, 0.3, 0.4)
	require.Greater(t, used, 0.69, "a load below the capacity is not refused")
	require.InDelta(t, 1.0, vital, 0.001)
	f.run(&now, 100, 0.5, 1.5)
	used, vital = f.run(&now, 300, 0.5, 1.5)
	require.Greater(t, used, 0.75)
	require.Greater(t, vital, 0.95)
	f.run(&now, 100, 0.3, 0.4)
	used, _ = f.run(&now, 100, 0.3, 0.4)
	require.Greater(t, used, 0.69, "the level rises again after the surge")
}

func TestServersOfOneServiceConvergeToOneLevel(t *testing.T) {
	now := time.Now()
	rng := rand.New(rand.NewPCG(1, 2))
	slow, fast := shed.NewController(now), shed.NewController(now)
	estimates := shed.NewLevelTable()
	for range 600 {
		now = now.Add(step)
		slow.Observe(now, 0.95+0.1*rng.Float64())
		fast.Observe(now, 0.7+0.1*rng.Float64())
		estimates.Observe(now, "alarm", slow.Integral())
		estimates.Observe(now, "alarm", fast.Integral())
		slow.AverageWith(now, estimates.Level(now, "alarm"))
		fast.AverageWith(now, estimates.Level(now, "alarm"))
	}
	require.InDelta(t, slow.Integral(), fast.Integral(), 0.15)
}
