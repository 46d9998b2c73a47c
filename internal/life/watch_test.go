package life_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/internal/life"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

func TestWatch(t *testing.T) {
	good := life.Observation{Reachable: true, Healthy: true}
	sick := life.Observation{Reachable: true}
	gone := life.Observation{}
	leaving := life.Observation{Reachable: true, Healthy: true, Draining: true}
	tests := map[string]struct {
		page   bool
		sights []life.Observation
		want   member.State
	}{
		"not there yet":                          {sights: []life.Observation{gone, gone}, want: member.StateStarting},
		"cold until its page is good":            {page: true, sights: []life.Observation{gone, sick, sick}, want: member.StateStarting},
		"serves once it is healthy":              {page: true, sights: []life.Observation{gone, sick, good}, want: member.StateServing},
		"a bad page does not take it back":       {page: true, sights: []life.Observation{good, sick, sick, gone}, want: member.StateServing},
		"leaves when it says so":                 {sights: []life.Observation{good, leaving}, want: member.StateDraining},
		"is not back for being reachable":        {sights: []life.Observation{good, leaving, good, good}, want: member.StateDraining},
		"the next one serves":                    {sights: []life.Observation{good, leaving, good, gone, good}, want: member.StateServing},
		"with a page it is back when that is so": {page: true, sights: []life.Observation{good, leaving, leaving, sick, good}, want: member.StateServing},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			watch := life.NewTracker(test.page)
			for _, sight := range test.sights {
				watch.Observe(sight)
			}
			require.Equal(t, test.want, watch.State())
		})
	}
}

func TestWatchNeverServesOneThatSaysItLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		watch := life.NewTracker(rapid.Bool().Draw(t, "page"))
		for range rapid.IntRange(1, 50).Draw(t, "looks") {
			before := watch.State()
			sight := life.Observation{
				Reachable: rapid.Bool().Draw(t, "connects"),
				Healthy:   rapid.Bool().Draw(t, "healthy"),
				Draining:  rapid.Bool().Draw(t, "draining"),
			}
			changed := watch.Observe(sight)
			require.Equal(t, changed, before != watch.State())
			if sight.Draining {
				require.Equal(t, member.StateDraining, watch.State())
			}
			if changed && watch.State() == member.StateServing {
				require.True(t, sight.Reachable && sight.Healthy)
			}
		}
	})
}
