package node_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDrainTargetGetsNoCalls guards against calls to a node that the setting drainTarget names, also calls of once operations, which
// must not run twice. The other nodes must run all calls.
func TestDrainTargetGetsNoCalls(t *testing.T) {
	var drained, others atomic.Int64
	counting := func(count *atomic.Int64) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			count.Add(1)
			_, _ = io.WriteString(w, "complete")
		})
	}
	settings := "drainTarget = [\"node-a\"]\n" + testTree + "\n[service.keuring.kind.signOff]\nmethod = \"POST\"\npath = \"/signoffs\"\nonce = true\n"
	nodes := startFleet(t, settings, counting(&drained), counting(&others), counting(&others))
	const calls = 30
	for i := range calls {
		entryNode := nodes[i%len(nodes)]
		require.Equal(t, "complete", string(do(t, newCall(t, entryNode, http.MethodGet, fmt.Sprint("/inspections/", i), "")).body))
		require.Equal(t, "complete", string(do(t, newCall(t, entryNode, http.MethodPost, "/signoffs", "once")).body))
	}
	require.Zero(t, drained.Load())
	require.EqualValues(t, 2*calls, others.Load())
}
