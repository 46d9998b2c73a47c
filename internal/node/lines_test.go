package node_test

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a resumed download whose request has the range that is missing and one that the caller asked for.
func TestResumedDownloadStatesOneRange(t *testing.T) {
	content := archiveContent(1)
	var truncations atomic.Int64
	truncations.Store(1)
	archive := archiveServer(content, "v1", &truncations)
	var mu sync.Mutex
	var ranges [][]string
	backend := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ranges = append(ranges, r.Header.Values("Range"))
		mu.Unlock()
		archive.ServeHTTP(w, r)
	})
	nodes := startFleet(t, testTree+archiveKind, backend, backend)
	request := newCall(t, nodes[0], http.MethodGet, "/archive/3", "")
	request.Header["Range"] = []string{"bytes=1000000-7000000", "bytes=0-1"}
	response := do(t, request)
	require.NoError(t, response.bodyErr)
	require.Equal(t, http.StatusPartialContent, response.status)
	require.True(t, bytes.Equal(content[1000000:7000001], response.body))
	mu.Lock()
	defer mu.Unlock()
	require.Len(t, ranges, 2)
	require.Len(t, ranges[1], 1, "the resumed request states one range")
}
