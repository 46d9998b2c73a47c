package fanout

// Origin is the source of the requests on a route.
type Origin uint8

// Origins of requests.
const (
	// OriginUnknown means that there were too few requests to tell.
	OriginUnknown Origin = iota
	// OriginClients means that clients send the requests, which come from VMs of most services.
	OriginClients
	// OriginServers means that the requests are calls by the backend servers of some services.
	OriginServers
)

const (
	// minRequests is the number of requests below which the origin is unknown.
	minRequests = 40
	// minCallerShare is the fraction of an even share of the requests below which a calling service is ignored.
	minCallerShare = 0.1
	// halvingCount is the number of requests at which all counts are halved, so that the origin follows changes.
	halvingCount = 2000
)

// Callers counts the requests on one route by the service whose VM they come from. It is not safe for concurrent use.
type Callers struct {
	counts map[string]float64
	total  float64
}

// NewCallers returns a Callers without requests.
func NewCallers() *Callers {
	return &Callers{counts: map[string]float64{}}
}

// Count counts a request that comes from a VM of the service.
func (c *Callers) Count(service string) {
	c.counts[service]++
	c.total++
	if c.total < halvingCount {
		return
	}
	for name := range c.counts {
		c.counts[name] /= 2
	}
	c.total /= 2
}

// Origin returns OriginClients if the requests come from more than half of the services, otherwise OriginServers. It takes the number of
// services in the fleet.
func (c *Callers) Origin(services int) Origin {
	if c.total < minRequests || services < 2 {
		return OriginUnknown
	}
	present := 0
	for _, count := range c.counts {
		if count >= minCallerShare*c.total/float64(services) {
			present++
		}
	}
	if 2*present > services {
		return OriginClients
	}

	return OriginServers
}
