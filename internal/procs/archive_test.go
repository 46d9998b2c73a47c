package procs_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/fault"
	"github.com/pistachiotack/pistachiotack/internal/wire"
)

const (
	archiveSize = 300 << 20
	archivePath = "/certificates/3/archive"
	// nodeMemory is what a node may hold, in bytes.
	nodeMemory  = 32 << 20
	archiveTree = `places = ["hal-a"]
services = ["logboek", "certificaat"]
[service.certificaat.kind.archive]
method = "GET"
path = "/certificates/*/archive"
stream = true
idempotent = true
deadline = "5m"
`
)

// TestLargeArchivePassesSmallNodes cuts each connection after 120 MB, so that no target sends the whole archive.
func TestLargeArchivePassesSmallNodes(t *testing.T) {
	l := newLine(t, lineOptions{tree: archiveTree, services: []lineService{
		{name: "logboek", targets: 1},
		{name: "certificaat", targets: 3, routes: []fake.Route{{
			Method: http.MethodGet, Prefix: "/certificates/", Suffix: "/archive", Bytes: archiveSize, Archive: true, Work: time.Millisecond,
		}}},
	}})
	for _, target := range l.of("certificaat") {
		target.link.Set(fault.Fault{CutAfter: 120 << 20})
	}
	entry := l.of("logboek")[0]
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+entry.node.Settings().Listen.Callers+archivePath, http.NoBody)
	require.NoError(t, err)
	request.Header.Set(wire.HeaderService, "certificaat")
	answer, err := l.client.Do(request)
	require.NoError(t, err)
	defer func() { _ = answer.Body.Close() }()
	require.Equal(t, http.StatusOK, answer.StatusCode)

	length, right, err := fake.Verify(answer.Body, fake.ArchiveSeed(archivePath), 0)
	require.NoError(t, err)
	require.True(t, right)
	require.EqualValues(t, archiveSize, length)
	require.GreaterOrEqual(t, l.ledger.Totals().Arrivals, 3, "the archive came from one target after another")
	for _, target := range l.targets {
		usage, err := target.node.Usage()
		require.NoError(t, err)
		t.Logf("%s: %.1f MB resident at most", target.node.Settings().Name, float64(usage.Peak)/(1<<20))
		require.LessOrEqual(t, usage.Peak, int64(nodeMemory), target.node.Settings().Name)
	}
}
