package life_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/internal/life"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

func TestTracker(t *testing.T) {
	healthy := life.Observation{Reachable: true, Healthy: true}
	unhealthy := life.Observation{Reachable: true}
	unreachable := life.Observation{}
	draining := life.Observation{Reachable: true, Healthy: true, Draining: true}
	tests := map[string]struct {
		hasHealthPath bool
		checks        []life.Observation
		want          member.State
	}{
		"unreachable server stays starting":                       {checks: []life.Observation{unreachable, unreachable}, want: member.StateStarting},
		"unhealthy server stays starting":                         {hasHealthPath: true, checks: []life.Observation{unreachable, unhealthy, unhealthy}, want: member.StateStarting},
		"healthy server serves":                                   {hasHealthPath: true, checks: []life.Observation{unreachable, unhealthy, healthy}, want: member.StateServing},
		"failing health check of a serving server is ignored":     {hasHealthPath: true, checks: []life.Observation{healthy, unhealthy, unhealthy, unreachable}, want: member.StateServing},
		"server that announces draining drains":                   {checks: []life.Observation{healthy, draining}, want: member.StateDraining},
		"reachable server without health endpoint stays draining": {checks: []life.Observation{healthy, draining, healthy, healthy}, want: member.StateDraining},
		"replacement without health endpoint serves":              {checks: []life.Observation{healthy, draining, healthy, unreachable, healthy}, want: member.StateServing},
		"replacement with healthy endpoint serves":                {hasHealthPath: true, checks: []life.Observation{healthy, draining, draining, unhealthy, healthy}, want: member.StateServing},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := life.NewTracker(test.hasHealthPath)
			for _, observation := range test.checks {
				tracker.Observe(observation)
			}
			require.Equal(t, test.want, tracker.State())
		})
	}
}

func TestTrackerNeverServesADrainingServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := life.NewTracker(rapid.Bool().Draw(t, "page"))
		for range rapid.IntRange(1, 50).Draw(t, "looks") {
			before := tracker.State()
			observation := life.Observation{
				Reachable: rapid.Bool().Draw(t, "connects"),
				Healthy:   rapid.Bool().Draw(t, "healthy"),
				Draining:  rapid.Bool().Draw(t, "draining"),
			}
			changed := tracker.Observe(observation)
			require.Equal(t, changed, before != tracker.State())
			if observation.Draining {
				require.Equal(t, member.StateDraining, tracker.State())
			}
			if changed && tracker.State() == member.StateServing {
				require.True(t, observation.Reachable && observation.Healthy)
			}
		}
	})
}
