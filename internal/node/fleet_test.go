package node_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/node"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

const (
	service      = "keuring"
	waitTimeout  = 20 * time.Second
	waitInterval = 5 * time.Millisecond
	testTree     = "places = [\"hal-a\"]\nservices = [\"keuring\"]\n"
	archiveKind  = "\n[service.keuring.kind.archive]\nmethod = \"GET\"\npath = \"/archive/**\"\nstream = true\nidempotent = true\ndeadline = \"60s\"\n"
)

// startFleet starts one node for each backend server and adds all nodes to the membership of each of them.
func startFleet(t *testing.T, settingsText string, backends ...http.Handler) []*node.Node {
	t.Helper()
	settings, err := tree.Parse(settingsText)
	require.NoError(t, err)
	nodes := make([]*node.Node, 0, len(backends))
	for i, handler := range backends {
		nodes = append(nodes, startNode(t, tree.NewSnapshot(1, settings), "node-"+string(rune('a'+i)), service, handler))
	}
	introduce(nodes...)

	return nodes
}

// startNode starts a node with a backend server. It knows no other nodes.
func startNode(t *testing.T, snapshot *tree.Snapshot, name, service string, handler http.Handler) *node.Node {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	settings := config.Node{
		Name:       name,
		DataCentre: "hal-a",
		Service:    service,
		Backend:    config.Backend{Address: strings.TrimPrefix(server.URL, "http://")},
		Fleet:      config.Fleet{Gossip: config.Duration(20 * time.Millisecond)},
	}.WithDefaults()
	started, err := node.Start(t.Context(), settings, snapshot, node.DiscardLogs())
	require.NoError(t, err)
	t.Cleanup(func() { _ = started.Stop() })

	return started
}

// introduce adds all nodes to the membership of each of them.
func introduce(nodes ...*node.Node) {
	entries := make([]member.Entry, 0, len(nodes))
	for _, each := range nodes {
		entries = append(entries, each.Entry())
	}
	for _, each := range nodes {
		each.AddMembers(entries)
	}
}

func newCall(t *testing.T, entryNode *node.Node, method, path, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+entryNode.Addresses().Callers+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set(wire.HeaderService, service)

	return request
}

// httpResponse is a response whose body was read to its end.
type httpResponse struct {
	status int
	header http.Header
	body   []byte
	// bodyErr is the error that ended the body early, nil for a complete response.
	bodyErr error
}

func do(t *testing.T, request *http.Request) httpResponse {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)

	return httpResponse{status: response.StatusCode, header: response.Header, body: body, bodyErr: err}
}
