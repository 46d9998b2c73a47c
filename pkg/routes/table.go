package routes

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is returned for a route with a missing or invalid value.
var ErrInvalid = errors.New("invalid route")

// Table is one immutable version of all routes.
type Table struct {
	version        uint64
	hosts          map[string][]*Route
	healthPaths    map[string]string
	lowestPriority int
	services       []string
	limits         Limits
}

// NewTable validates the routes and returns a table of them, or an error that wraps ErrInvalid.
func NewTable(version uint64, list []Route) (*Table, error) {
	t := &Table{version: version, hosts: map[string][]*Route{}, healthPaths: map[string]string{}}
	names := map[string]string{}
	for i := range list {
		route := list[i]
		if err := validate(&route); err != nil {
			return nil, err
		}
		host := strings.ToLower(route.Host)
		if other, found := names[host+route.Prefix]; found {
			return nil, errors.Wrapf(ErrInvalid, "routes %q and %q have the same host %s and prefix %s", other, route.Name, host, route.Prefix)
		}
		names[host+route.Prefix] = route.Name
		t.hosts[host] = append(t.hosts[host], &route)
		t.lowestPriority = max(t.lowestPriority, route.Priority)
		for _, service := range route.Services {
			t.services = append(t.services, service.Service)
		}
	}
	for _, hostRoutes := range t.hosts {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	slices.Sort(t.services)
	t.services = slices.Compact(t.services)

	return t, nil
}

func validate(route *Route) error {
	switch {
	case route.Host == "":
		return errors.Wrapf(ErrInvalid, "route %q has no host", route.Name)
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return errors.Wrapf(ErrInvalid, "route %q: prefix %q does not begin and end with a slash", route.Name, route.Prefix)
	case len(route.Services) == 0 || route.TotalWeight() <= 0:
		return errors.Wrapf(ErrInvalid, "route %q has no service with a positive weight", route.Name)
	case slices.ContainsFunc(route.Services, WeightedService.invalid):
		return errors.Wrapf(ErrInvalid, "route %q has a service without a name or with a negative weight", route.Name)
	case route.Attempts < 1:
		return errors.Wrapf(ErrInvalid, "route %q allows no attempts", route.Name)
	case route.Priority < 0:
		return errors.Wrapf(ErrInvalid, "route %q has a negative priority", route.Name)
	}

	return validateTimes(route)
}

func validateTimes(route *Route) error {
	for name, value := range map[string]time.Duration{"timeout": route.Timeout, "latency target": route.LatencyTarget} {
		if value < 0 || value > MaxTimeout {
			return errors.Wrapf(ErrInvalid, "route %q: %s %v is not between 0 and %v", route.Name, name, value, MaxTimeout)
		}
	}

	return nil
}

// WithHealthPaths returns a copy of the table with the given health check paths by service.
func (t *Table) WithHealthPaths(paths map[string]string) *Table {
	changed := *t
	changed.healthPaths = paths

	return &changed
}

// WithLimits returns a copy of the table with the given limits of what clients may send.
func (t *Table) WithLimits(limits Limits) *Table {
	changed := *t
	changed.limits = limits

	return &changed
}

// Limits returns the limits of what clients may send.
func (t *Table) Limits() Limits {
	return t.limits
}

// Version returns the version number, which increases from version to version; zero means none.
func (t *Table) Version() uint64 {
	return t.version
}

// HealthPath returns the health check path of a service, empty if it has none.
func (t *Table) HealthPath(service string) string {
	return t.healthPaths[service]
}

// LowestPriority returns the priority number of the least important route, the largest of all.
func (t *Table) LowestPriority() int {
	return t.lowestPriority
}

// Services returns the sorted names of all services that have a route.
func (t *Table) Services() []string {
	return t.services
}

// Find returns the route of the host with the longest prefix of the path, false if none matches.
func (t *Table) Find(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range t.hosts[name] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}

	return nil, false
}
