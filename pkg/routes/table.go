package routes

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalid is returned for routes that cannot be served.
var ErrInvalid = errors.New("invalid route")

// Table is one version of all routes.
type Table struct {
	version  uint64
	hosts    map[string][]*Route
	health   map[string]string
	lowest   int
	services []string
}

// NewTable checks the routes and returns them as a table, ErrInvalid if one cannot be served.
func NewTable(version uint64, list []Route) (*Table, error) {
	t := &Table{version: version, hosts: map[string][]*Route{}, health: map[string]string{}}
	for i := range list {
		route := list[i]
		if err := check(&route); err != nil {
			return nil, err
		}
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], &route)
		t.lowest = max(t.lowest, route.Priority)
		for _, part := range route.Services {
			t.services = append(t.services, part.Service)
		}
	}
	for _, found := range t.hosts {
		slices.SortStableFunc(found, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	slices.Sort(t.services)
	t.services = slices.Compact(t.services)

	return t, nil
}

func check(route *Route) error {
	switch {
	case route.Host == "":
		return errors.Wrapf(ErrInvalid, "route %q has no host", route.Name)
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return errors.Wrapf(ErrInvalid, "route %q: prefix %q does not begin and end with a slash", route.Name, route.Prefix)
	case len(route.Services) == 0 || route.TotalWeight() <= 0:
		return errors.Wrapf(ErrInvalid, "route %q goes to no service", route.Name)
	case route.Attempts < 1:
		return errors.Wrapf(ErrInvalid, "route %q allows no attempt", route.Name)
	case route.Priority < 0:
		return errors.Wrapf(ErrInvalid, "route %q has a negative priority", route.Name)
	}

	return nil
}

// WithHealthPaths returns a copy that knows the status check path of each service.
func (t *Table) WithHealthPaths(paths map[string]string) *Table {
	changed := *t
	changed.health = paths

	return &changed
}

// Version returns the number by which versions are ordered, zero for none.
func (t *Table) Version() uint64 {
	return t.version
}

// HealthPath returns the status check path of a service, empty if it has none.
func (t *Table) HealthPath(service string) string {
	return t.health[service]
}

// LowestPriority returns the largest priority number of any route.
func (t *Table) LowestPriority() int {
	return t.lowest
}

// Services returns the names of all services that a route goes to, sorted.
func (t *Table) Services() []string {
	return t.services
}

// Find returns the route with the longest prefix that begins the path, false if none matches.
func (t *Table) Find(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range t.hosts[name] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}

	return nil, false
}
