package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// Guards against a leaving that is forgotten when the node beside the server restarts, also twice in a row, while the platform's table is
// away, or after the nodes that heard of it first have been lost.
func TestDepartureIsToldToARestartedNode(t *testing.T) {
	const downTime = 1300 * time.Millisecond
	for name, test := range map[string]struct{ restarts, lost int }{
		"one restart":               {1, 0},
		"two restarts in a row":     {2, 0},
		"half of the fleet is lost": {1, 2},
	} {
		for _, count := range []int{4, 13, 96} {
			t.Run(fmt.Sprintf("%s, %d nodes", name, count), func(t *testing.T) {
				sim := newSimulation(uint64(count), member.Options{})
				sim.addConverged(count, 3)
				sim.run(2*time.Second, nil)
				restarted := sim.nodes[count/2]
				departure := member.Departure{Process: "i-1", StartedAt: time.UnixMilli(7), At: sim.now}
				restarted.fleet.SetDeparted(sim.now, departure)
				sim.run(time.Second, nil)
				if test.lost > 0 {
					for i := 0; i < count/2; i++ {
						sim.nodes[i].stop()
					}
				}
				for range test.restarts {
					restarted.stop()
					sim.run(downTime, nil)
					restarted.start(member.StateServing)
					require.Nil(t, restarted.fleet.Self().Departed)
					told := sim.run(maxFindTime, func() bool { return restarted.fleet.Self().Departed != nil })
					require.True(t, told)
					require.Equal(t, departure, *restarted.fleet.Self().Departed)
				}
			})
		}
	}
}

func TestDepartureThatTheNodeHasSeenItselfGoesFirst(t *testing.T) {
	sim := newSimulation(1, member.Options{})
	sim.addConverged(4, 1)
	restarted := sim.nodes[0]
	restarted.fleet.SetDeparted(sim.now, member.Departure{Process: "i-1"})
	sim.run(time.Second, nil)
	restarted.stop()
	sim.run(time.Second, nil)
	restarted.start(member.StateServing)
	restarted.fleet.SetDeparted(sim.now, member.Departure{Process: "i-2"})
	sim.run(maxFindTime, nil)
	require.Equal(t, "i-2", restarted.fleet.Self().Departed.Process)
}
