package routes_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/routes"
)

func route(name, host, prefix string, services ...routes.WeightedService) routes.Route {
	if len(services) == 0 {
		services = []routes.WeightedService{{Service: name, Weight: 1}}
	}

	return routes.Route{Name: name, Host: host, Prefix: prefix, Services: services, Attempts: 2}
}

func TestFindTakesTheLongestPrefixOfTheHost(t *testing.T) {
	table, err := routes.NewTable(7, []routes.Route{
		route("short", "a.example", "/x/"),
		route("long", "a.example", "/x/y/"),
		route("other", "b.example", "/"),
	})
	require.NoError(t, err)
	require.Equal(t, uint64(7), table.Version())
	require.Equal(t, []string{"long", "other", "short"}, table.Services())
	for _, test := range []struct{ host, path, name string }{
		{"a.example", "/x/1", "short"},
		{"A.Example:80", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"b.example", "/anything", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	} {
		found, ok := table.Find(test.host, test.path)
		require.Equal(t, test.name != "", ok, "%s%s", test.host, test.path)
		if ok {
			require.Equal(t, test.name, found.Name)
		}
	}
}

func TestNewTableRejectsInvalidRoutes(t *testing.T) {
	for name, bad := range map[string]routes.Route{
		"no host":         route("r", "", "/x/"),
		"unclosed prefix": route("r", "a.example", "/x"),
		"no service":      {Name: "r", Host: "a.example", Prefix: "/x/", Attempts: 1},
		"no weight":       route("r", "a.example", "/x/", routes.WeightedService{Service: "s"}),
		"no attempt": {
			Name: "r", Host: "a.example", Prefix: "/x/",
			Services: []routes.WeightedService{{Service: "s", Weight: 1}},
		},
		"negative priority": {
			Name: "r", Host: "a.example", Prefix: "/x/",
			Services: []routes.WeightedService{{Service: "s", Weight: 1}}, Attempts: 1, Priority: -1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := routes.NewTable(1, []routes.Route{bad})
			require.ErrorIs(t, err, routes.ErrInvalid)
		})
	}
}

func TestSplitterKeepsTheWeightsInEveryRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := make([]routes.WeightedService, rapid.IntRange(1, 4).Draw(t, "parts"))
		sum := 0.0
		for i := range services {
			services[i] = routes.WeightedService{Service: fmt.Sprint(i), Weight: float64(rapid.IntRange(1, 90).Draw(t, "weight"))}
			sum += services[i].Weight
		}
		table, err := routes.NewTable(1, []routes.Route{route("r", "a.example", "/", services...)})
		require.NoError(t, err)
		found, _ := table.Find("a.example", "/")
		splitter := routes.NewSplitter()
		counts := map[string]float64{}
		for n := 1; n <= 200; n++ {
			counts[splitter.Pick(table, found)]++
			for _, service := range services {
				require.InDelta(t, float64(n)*service.Weight/sum, counts[service.Service], float64(len(services)))
			}
		}
	})
}

func TestTighterLimits(t *testing.T) {
	own := routes.Limits{MaxHeader: 10, MaxBody: 100, HeaderTimeout: time.Second}
	others := routes.Limits{MaxHeader: 20, MaxBody: 50, IdleTimeout: time.Minute}
	require.Equal(t, routes.Limits{MaxHeader: 10, MaxBody: 50, HeaderTimeout: time.Second, IdleTimeout: time.Minute}, own.WithTighter(others))
	require.Equal(t, own.WithTighter(others), others.WithTighter(own))
	require.Equal(t, own, own.WithTighter(routes.Limits{}))
	require.NoError(t, own.Validate())
	require.ErrorIs(t, routes.Limits{MaxBody: -1}.Validate(), routes.ErrInvalid)
	require.ErrorIs(t, routes.Limits{IdleTimeout: -1}.Validate(), routes.ErrInvalid)
}
