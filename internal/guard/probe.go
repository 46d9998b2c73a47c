package guard

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/pkg/beat"
)

// maxProbeResponse is the largest response to a status check in bytes.
const maxProbeResponse = 64 << 10

// errUnhealthy is returned for a backend server whose response to a status check is not 200.
var errUnhealthy = errors.New("backend server is unhealthy")

// Probe sends a status check to the path of the backend server, and returns what the process that responded with 200 states.
func (g *Guard) Probe(ctx context.Context, path string) (beat.Health, error) {
	request := &protocol.Request{}
	request.Header.SetMethod(http.MethodGet)
	request.Header.SetRequestURI(path)
	request.Header.SetHost(g.options.Backend)
	response := &relay.Response{}
	defer response.Close()
	if err := g.client.Do(ctx, g.options.Backend, request, response, relay.Limits{MaxBodyBytes: maxProbeResponse, DialTimeout: dialTimeout}); err != nil {
		return beat.Health{}, errors.Wrapf(err, "status check at %s", path)
	}
	if status := response.Response.StatusCode(); status != http.StatusOK {
		return beat.Health{}, errors.Wrapf(errUnhealthy, "status check at %s: status %d", path, status)
	}

	info := g.options.Dialect.ParseResponse(http.StatusOK, &response.Response.Header)

	return beat.Health{ID: info.Process, RateLimit: info.RateLimit}, nil
}
