package leave_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/leave"
)

func TestEndExcludesLateRequestsThatMayOutlastTheNode(t *testing.T) {
	const from, until = 2 * time.Second, 5 * time.Second
	end := leave.NewEnd(epoch.Add(from), epoch.Add(until))
	for name, test := range map[string]struct {
		now, deadline time.Duration
		excluded      bool
	}{
		"early and long":  {from, time.Minute, false},
		"late and short":  {from + 1, until, false},
		"late and long":   {from + 1, until + 1, true},
		"after the end":   {until + 1, until + 2, true},
		"late, no budget": {until, until, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.excluded, end.Excludes(epoch.Add(test.now), epoch.Add(test.deadline)))
			require.False(t, leave.End{}.Excludes(epoch.Add(test.now), epoch.Add(test.deadline)))
		})
	}
}
