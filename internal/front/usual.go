package front

import "time"

const (
	// latencyWeight is the weight of one response in the moving average of its route.
	latencyWeight = 0.05
	// maxRoutes is the maximum number of routes with an average; when it is exceeded, all averages start anew.
	maxRoutes = 1024
)

// meanLatencies holds the exponentially weighted moving average of response latency for each route.
type meanLatencies struct {
	means map[string]time.Duration
}

func newMeanLatencies() *meanLatencies {
	return &meanLatencies{means: map[string]time.Duration{}}
}

func (m *meanLatencies) observe(route string, latency time.Duration) {
	mean, found := m.means[route]
	if !found {
		if len(m.means) >= maxRoutes {
			clear(m.means)
		}
		mean = latency
	}
	m.means[route] = mean + time.Duration(latencyWeight*float64(latency-mean))
}

// observeLatency adds the latency of a response to the average of its route.
func (f *Front) observeLatency(route string, latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latencies.observe(route, latency)
}

// holdResponse counts the bytes of a response until the client has read it.
func (f *Front) holdResponse(r *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.responseBytes = f.unread.Respond(r.route.Name, r.responseBytes, len(r.http.Response.BodyBytes()))
}

// usualLatency returns the average latency of the route, zero if it had no responses.
func (f *Front) usualLatency(route string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.latencies.means[route]
}
