package pace_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/pace"
)

var polls = pace.Polls{
	Shortest: 300 * time.Millisecond, Longest: 20 * time.Second, Mean: 900 * time.Millisecond, Apart: 100 * time.Millisecond,
}

// All polls are lost at the same moment, at any time after they began together: the first of them must end in time for its node to find a change.
func TestFirstOfAllPollsEndsSoonInFleetsOfAnySize(t *testing.T) {
	t.Parallel()
	const trials, inTime = 2000, 1500 * time.Millisecond
	for _, nodes := range []int{1, 2, 6, 13, 18, 71, 96, 300, 1200} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(uint64(nodes), 1))
			for _, lostAfter := range []time.Duration{0, time.Second, 10 * time.Second} {
				late := 0
				for range trials {
					if firstEnd(random, nodes, lostAfter) > inTime {
						late++
					}
				}
				require.LessOrEqual(t, late, trials/100, "lost %v after all began", lostAfter)
			}
		})
	}
}

// firstEnd lets all nodes poll from the same moment on, and returns the time from the given one to the first end of a poll then in progress.
func firstEnd(random *rand.Rand, nodes int, lostAfter time.Duration) time.Duration {
	first := time.Hour
	for range nodes {
		end := polls.Wait(nodes, random.Float64())
		for end < lostAfter {
			end += polls.Wait(nodes, random.Float64())
		}
		first = min(first, end-lostAfter)
	}

	return first
}

func TestPollsOfALargeFleetAreBounded(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 1))
	for nodes, perSecond := range map[int]float64{1: 1.2, 13: 11, 100: 11, 1200: 125} {
		total := time.Duration(0)
		const drawn = 20000
		for range drawn {
			wait := polls.Wait(nodes, random.Float64())
			require.GreaterOrEqual(t, wait, polls.Shortest)
			require.LessOrEqual(t, wait, polls.Longest)
			total += wait
		}
		require.Less(t, float64(nodes)*drawn/total.Seconds(), perSecond, "%d nodes", nodes)
	}
}
