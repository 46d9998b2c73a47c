package fanout

// Origin says where the requests on a route come from.
type Origin uint8

// Origins of requests.
const (
	// OriginUnknown means that too few requests were seen.
	OriginUnknown Origin = iota
	// OriginClients means that clients send them, from beside backend servers of most services.
	OriginClients
	// OriginServers means that only backend servers of some services send them, as calls of their own.
	OriginServers
)

const (
	// originLeast is the number of requests from which on an origin is told.
	originLeast = 40
	// callerShare is the share of an even part below which a caller counts as absent.
	callerShare = 0.1
	// originMemory is the number of requests at which counts are halved, so that a changed origin shows.
	originMemory = 2000
)

// Callers counts for one route which services' VMs its requests come from; its owner serialises calls.
type Callers struct {
	counts map[string]float64
	total  float64
}

// NewCallers returns empty counts.
func NewCallers() *Callers {
	return &Callers{counts: map[string]float64{}}
}

// Count counts a request from beside a backend server of the service.
func (c *Callers) Count(service string) {
	c.counts[service]++
	c.total++
	if c.total < originMemory {
		return
	}
	for name := range c.counts {
		c.counts[name] /= 2
	}
	c.total /= 2
}

// Origin tells clients from backend servers by how many of the services in the fleet the requests come from.
func (c *Callers) Origin(services int) Origin {
	if c.total < originLeast || services < 2 {
		return OriginUnknown
	}
	present := 0
	for _, count := range c.counts {
		if count >= callerShare*c.total/float64(services) {
			present++
		}
	}
	if 2*present > services {
		return OriginClients
	}

	return OriginServers
}
