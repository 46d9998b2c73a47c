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

var (
	// errUnhealthy is returned for a backend server whose response to a status check is not 200.
	errUnhealthy = errors.New("backend server is unhealthy")
	// errBusy is returned for a backend server that has not responded, or has refused the status check like other requests.
	errBusy = errors.New("backend server has no room for a status check")
)

// probe sends a status check to the path of the backend server, and returns what the process that responded with 200 states.
func (g *Guard) probe(ctx context.Context, path string) (beat.Health, error) {
	request := &protocol.Request{}
	request.Header.SetMethod(http.MethodGet)
	request.Header.SetRequestURI(path)
	request.Header.SetHost(g.options.Backend)
	response := &relay.Response{}
	defer response.Close()
	if err := g.client.Do(ctx, g.options.Backend, request, response, relay.Limits{MaxBodyBytes: maxProbeResponse, DialTimeout: dialTimeout}); err != nil {
		return beat.Health{}, errors.Wrapf(errBusy, "status check at %s: %v", path, err)
	}
	status := response.Response.StatusCode()
	info := g.options.Dialect.ParseResponse(status, &response.Response.Header)
	switch {
	case info.NotRun:
		return beat.Health{}, errors.Wrapf(errBusy, "status check at %s: status %d", path, status)
	case status != http.StatusOK, info.Leaving:
		return beat.Health{}, errors.Wrapf(errUnhealthy, "status check at %s: status %d, leaving %t", path, status, info.Leaving)
	}

	return beat.Health{ID: info.Process, RateLimit: info.RateLimit}, nil
}
