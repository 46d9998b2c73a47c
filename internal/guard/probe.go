package guard

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/relay"
)

// probeAnswer is the largest answer to a status check in bytes.
const probeAnswer = 64 << 10

// errUnwell is returned for a backend server that answers a status check with anything but success.
var errUnwell = errors.New("backend server is not well")

// Probe asks the backend server at the path for its status, and returns the ID of the process that says that it is well.
func (g *Guard) Probe(ctx context.Context, path string) (string, error) {
	request := &protocol.Request{}
	request.Header.SetMethod(http.MethodGet)
	request.Header.SetRequestURI(path)
	request.Header.SetHost(g.options.Backend)
	answer := &relay.Response{}
	defer answer.Close()
	if err := g.client.Do(ctx, g.options.Backend, request, answer, relay.Limits{MaxBodyBytes: probeAnswer, DialTimeout: dialTimeout}); err != nil {
		return "", errors.Wrapf(err, "status check at %s", path)
	}
	if status := answer.Response.StatusCode(); status != http.StatusOK {
		return "", errors.Wrapf(errUnwell, "status check at %s: status %d", path, status)
	}

	return g.options.Dialect.Read(http.StatusOK, &answer.Response.Header).Process, nil
}
