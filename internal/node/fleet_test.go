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
	service    = "keuring"
	waitLimit  = 20 * time.Second
	waitTick   = 5 * time.Millisecond
	testTree   = "places = [\"hal-a\"]\nservices = [\"keuring\"]\n"
	archiveKey = "\n[service.keuring.kind.archive]\nmethod = \"GET\"\npath = \"/archive/**\"\nstream = true\nidempotent = true\ndeadline = \"60s\"\n"
)

// startFleet runs one node beside each backend server and makes them known to each other.
func startFleet(t *testing.T, text string, backends ...http.Handler) []*node.Node {
	t.Helper()
	parsed, err := tree.Parse(text)
	require.NoError(t, err)
	nodes := make([]*node.Node, 0, len(backends))
	for i, handler := range backends {
		nodes = append(nodes, startNode(t, tree.NewSnapshot(1, parsed), "node-"+string(rune('a'+i)), service, handler))
	}
	introduce(nodes...)

	return nodes
}

// startNode runs one node beside a backend server; it knows nobody.
func startNode(t *testing.T, snapshot *tree.Snapshot, name, ofService string, handler http.Handler) *node.Node {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	settings := config.Node{
		Name:       name,
		DataCentre: "hal-a",
		Service:    ofService,
		Backend:    config.Backend{Address: strings.TrimPrefix(server.URL, "http://")},
		Fleet:      config.Fleet{Gossip: config.Duration(20 * time.Millisecond)},
	}.WithDefaults()
	started, err := node.Start(t.Context(), settings, snapshot, node.DiscardLogs())
	require.NoError(t, err)
	t.Cleanup(func() { _ = started.Stop() })

	return started
}

func introduce(nodes ...*node.Node) {
	entries := make([]member.Entry, 0, len(nodes))
	for _, each := range nodes {
		entries = append(entries, each.Entry())
	}
	for _, each := range nodes {
		each.Introduce(entries)
	}
}

func newCall(t *testing.T, entry *node.Node, method, path, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+entry.Addresses().Callers+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set(wire.HeaderService, service)

	return request
}

// reply is an answer read to its end.
type reply struct {
	status int
	header http.Header
	body   []byte
	// cut is the error that ended the body too early, nil for a whole answer.
	cut error
}

func do(t *testing.T, request *http.Request) reply {
	t.Helper()
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)

	return reply{status: answer.StatusCode, header: answer.Header, body: body, cut: err}
}
