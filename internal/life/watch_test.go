package life_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/internal/life"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

func TestWatch(t *testing.T) {
	good := life.Sight{Connects: true, Healthy: true}
	sick := life.Sight{Connects: true}
	gone := life.Sight{}
	leaving := life.Sight{Connects: true, Healthy: true, Draining: true}
	tests := map[string]struct {
		page   bool
		sights []life.Sight
		want   member.State
	}{
		"not there yet":                          {sights: []life.Sight{gone, gone}, want: member.StateStarting},
		"cold until its page is good":            {page: true, sights: []life.Sight{gone, sick, sick}, want: member.StateStarting},
		"serves once it is healthy":              {page: true, sights: []life.Sight{gone, sick, good}, want: member.StateServing},
		"a bad page does not take it back":       {page: true, sights: []life.Sight{good, sick, sick, gone}, want: member.StateServing},
		"leaves when it says so":                 {sights: []life.Sight{good, leaving}, want: member.StateDraining},
		"is not back for being reachable":        {sights: []life.Sight{good, leaving, good, good}, want: member.StateDraining},
		"the next one serves":                    {sights: []life.Sight{good, leaving, good, gone, good}, want: member.StateServing},
		"with a page it is back when that is so": {page: true, sights: []life.Sight{good, leaving, leaving, sick, good}, want: member.StateServing},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			watch := life.NewWatch(test.page)
			for _, sight := range test.sights {
				watch.See(sight)
			}
			require.Equal(t, test.want, watch.State())
		})
	}
}

func TestWatchNeverServesOneThatSaysItLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		watch := life.NewWatch(rapid.Bool().Draw(t, "page"))
		for range rapid.IntRange(1, 50).Draw(t, "looks") {
			before := watch.State()
			sight := life.Sight{
				Connects: rapid.Bool().Draw(t, "connects"),
				Healthy:  rapid.Bool().Draw(t, "healthy"),
				Draining: rapid.Bool().Draw(t, "draining"),
			}
			changed := watch.See(sight)
			require.Equal(t, changed, before != watch.State())
			if sight.Draining {
				require.Equal(t, member.StateDraining, watch.State())
			}
			if changed && watch.State() == member.StateServing {
				require.True(t, sight.Connects && sight.Healthy)
			}
		}
	})
}
