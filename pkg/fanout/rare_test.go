package fanout_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/fanout"
)

// A route that is refused in an overload is executed rarely, while others are executed as before. What it calls must not be forgotten,
// or all of its requests would be admitted.
func TestEstimatorKeepsTheCallsOfARouteThatIsRarelyExecuted(t *testing.T) {
	for name, interval := range map[string]int{"a window in ten": 10, "a window in forty": 40, "no window": 0} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			e := fanout.NewEstimator()
			for range 120 {
				addWindow(e, rng, 40+rng.IntN(20), 20+rng.IntN(20), 4)
				for range 30 {
					e.CountCall("calibrate")
				}
				e.CloseWindow()
			}
			for window := range 600 {
				archive := 0
				if interval > 0 && window%interval == 0 {
					archive = 1
				}
				addWindow(e, rng, 40+rng.IntN(20), archive, 4)
				for range archive {
					e.CountCall("calibrate")
				}
				e.CloseWindow()
				require.Contains(t, e.Callees("archive"), "calibrate", "window %d", window)
			}
		})
	}
}
