package load

import (
	"fmt"
	"strings"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Kind is one kind of request in a mix.
type Kind struct {
	Name    string
	Service string
	Method  string
	// Path holds one %d for the object, and starts with what no other kind of the service has.
	Path string
	// Share is its part of all requests.
	Share float64
	Class call.Class
	Once  bool
	// Archive answers are streamed, of Bytes in Work.
	Archive  bool
	Bytes    int64
	Work     time.Duration
	Deadline time.Duration
	// Calls names the kinds that the backend server calls before its own work.
	Calls []string
}

// path returns the path for one object.
func (k Kind) path(object int) string {
	if !strings.Contains(k.Path, "%d") {
		return k.Path
	}

	return fmt.Sprintf(k.Path, object)
}

// Service is one service of an example at full size.
type Service struct {
	Name        string
	Targets     int
	Slots       int
	Connections int
}

// Example is one user's services and mix of requests.
type Example struct {
	Name        string
	DataCentres []string
	Services    []Service
	Kinds       []Kind
	// Deep is the service that others call.
	Deep string
	// Scale divides the slots and connections of the full size.
	Scale int
}

// Kind returns the kind of that name, the zero value if there is none.
func (e Example) Kind(name string) Kind {
	for _, kind := range e.Kinds {
		if kind.Name == name {
			return kind
		}
	}

	return Kind{}
}

// Slots returns the slots of one target of the service at the example's scale.
func (e Example) Slots(service Service) int {
	return max(1, service.Slots/e.Scale)
}

// Routes returns what the backend servers of a service answer.
func (e Example) Routes(service string) []fake.Route {
	var routes []fake.Route
	for _, kind := range e.Kinds {
		if kind.Service != service {
			continue
		}
		prefix, suffix, _ := strings.Cut(kind.Path, "%d")
		routes = append(routes, fake.Route{
			Method: kind.Method, Prefix: prefix, Suffix: suffix,
			Work: kind.Work, Bytes: kind.Bytes, Archive: kind.Archive, Hops: e.hops(kind),
		})
	}

	return routes
}

func (e Example) hops(kind Kind) []fake.Hop {
	var hops []fake.Hop
	for _, name := range kind.Calls {
		to := e.Kind(name)
		hops = append(hops, fake.Hop{Service: to.Service, Method: to.Method, Path: to.path(1), Bytes: to.Bytes})
	}

	return hops
}

// Behaviour returns the ordinary behaviour of one backend server of the service.
func (e Example) Behaviour(service Service) fake.Behaviour {
	slots := e.Slots(service)

	return fake.Behaviour{Slots: slots, Waiting: waitingPerSlot * slots, Spread: serviceSpread, BytesPerSecond: archivePace}
}

const (
	waitingPerSlot = 4
	serviceSpread  = 0.3
)

// hold returns how long one request of the kind holds its slot on average.
func (e Example) hold(kind Kind) time.Duration {
	hold := kind.Work
	if kind.Archive {
		hold = time.Duration(kind.Bytes) * time.Second / archivePace
	}
	for _, name := range kind.Calls {
		hold += e.hold(e.Kind(name))
	}

	return hold
}

// demand adds the slot seconds that one request of the kind takes of each service.
func (e Example) demand(kind Kind, weight float64, seconds map[string]float64) {
	seconds[kind.Service] += weight * e.hold(kind).Seconds()
	for _, name := range kind.Calls {
		e.demand(e.Kind(name), weight, seconds)
	}
}

// Capacity returns the requests per second that the mix allows, and the service that bounds it.
func (e Example) Capacity() (rate float64, service string) {
	seconds := map[string]float64{}
	for _, kind := range e.Kinds {
		e.demand(kind, kind.Share, seconds)
	}
	for _, s := range e.Services {
		bound := float64(s.Targets*e.Slots(s)) / seconds[s.Name]
		if service == "" || bound < rate {
			rate, service = bound, s.Name
		}
	}

	return rate, service
}
