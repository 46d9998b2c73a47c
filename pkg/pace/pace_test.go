package pace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/pace"
)

func TestIntervalBoundsTheRateOfTheFleet(t *testing.T) {
	const shortest, apart = 2 * time.Second, 100 * time.Millisecond
	for nodes, expected := range map[int]time.Duration{
		0: shortest, 1: shortest, 18: shortest, 96: 9600 * time.Millisecond, 1200: 2 * time.Minute,
	} {
		interval := pace.Interval(shortest, nodes, apart)
		require.Equal(t, expected, interval, "%d nodes", nodes)
		require.LessOrEqual(t, float64(nodes)/interval.Seconds(), 10.0, "%d nodes", nodes)
	}
}
