package shed_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

const (
	mebibyte  = 1 << 20
	memory    = 64 * mebibyte
	largeSize = 2 * mebibyte
	smallSize = 4 << 10
)

// slowReaders requests large responses at a rate of clients of whom some read slowly, and returns how many requests of each size were
// served, and the most bytes that were held. A step is 10 ms.
func slowReaders(unread *shed.Unread, steps int, slowShare float64, random *rand.Rand) (large, small int, most int) {
	const runSteps, fastSteps, slowSteps = 5, 10, 3000
	type response struct {
		route            string
		size, bytes      int
		doneAt, readAt   int
		hasEnded, isDone bool
	}
	var open []*response
	for step := range steps {
		for _, next := range []response{{route: "archive", size: largeSize}, {route: "list", size: smallSize}} {
			bytes, admitted := unread.Begin(next.route)
			if !admitted {
				continue
			}
			next.bytes, next.doneAt, next.readAt = bytes, step+runSteps, step+runSteps+fastSteps
			if random.Float64() < slowShare {
				next.readAt = step + runSteps + slowSteps
			}
			open = append(open, &next)
			if next.route == "archive" {
				large++
			} else {
				small++
			}
		}
		for _, r := range open {
			if !r.isDone && step >= r.doneAt {
				r.bytes, r.isDone = unread.Respond(r.route, r.bytes, r.size), true
			}
			if !r.hasEnded && step >= r.readAt {
				unread.End(r.bytes)
				r.hasEnded = true
			}
		}
		most = max(most, unread.Held())
	}

	return large, small, most
}

func TestSlowReadersDoNotTakeMoreThanTheirMemory(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a load, drawn alike each time
	unread := shed.NewUnread(memory)
	const steps = 2000
	large, small, most := slowReaders(unread, steps, 0.5, random)
	require.LessOrEqual(t, most, memory+5*largeSize, "requests before the first response have no known size")
	require.Equal(t, steps, small, "small responses are not refused")
	require.Less(t, large, steps/2)
	require.Greater(t, large, memory/largeSize)
}

func TestNoRequestIsRefusedIfClientsRead(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a load, drawn alike each time
	const steps = 2000
	large, small, _ := slowReaders(shed.NewUnread(memory), steps, 0, random)
	require.Equal(t, steps, large)
	require.Equal(t, steps, small)
}

func TestResponseLargerThanTheMemoryIsServedAlone(t *testing.T) {
	unread := shed.NewUnread(memory)
	unread.End(unread.Respond("archive", 0, 2*memory))
	bytes, admitted := unread.Begin("archive")
	require.True(t, admitted)
	_, admitted = unread.Begin("archive")
	require.False(t, admitted)
	unread.End(bytes)
	_, admitted = unread.Begin("archive")
	require.True(t, admitted)
}

func TestAllBytesAreReturned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unread := shed.NewUnread(memory)
		var open []int
		routes := rapid.SampledFrom([]string{"a", "b", "c"})
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			switch {
			case len(open) > 0 && rapid.Bool().Draw(t, "ends"):
				bytes := open[0]
				open = open[1:]
				if rapid.Bool().Draw(t, "responds") {
					bytes = unread.Respond(routes.Draw(t, "route"), bytes, rapid.IntRange(0, 8*mebibyte).Draw(t, "size"))
				}
				unread.End(bytes)
			default:
				if bytes, admitted := unread.Begin(routes.Draw(t, "route")); admitted {
					open = append(open, bytes)
				}
			}
			require.GreaterOrEqual(t, unread.Held(), 0)
		}
		for _, bytes := range open {
			unread.End(bytes)
		}
		require.Zero(t, unread.Held())
	})
}
