package node_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTreeDrainsATarget: a node that the tree names gets no calls, once operations included, while the others serve on.
func TestTreeDrainsATarget(t *testing.T) {
	var drained, others atomic.Int64
	counting := func(count *atomic.Int64) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			count.Add(1)
			_, _ = io.WriteString(w, "whole")
		})
	}
	text := "drainTarget = [\"node-a\"]\n" + testTree + "\n[service.keuring.kind.signOff]\nmethod = \"POST\"\npath = \"/signoffs\"\nonce = true\n"
	nodes := startFleet(t, text, counting(&drained), counting(&others), counting(&others))
	const calls = 30
	for i := range calls {
		entry := nodes[i%len(nodes)]
		require.Equal(t, "whole", string(do(t, newCall(t, entry, http.MethodGet, fmt.Sprint("/inspections/", i), "")).body))
		require.Equal(t, "whole", string(do(t, newCall(t, entry, http.MethodPost, "/signoffs", "once")).body))
	}
	require.Zero(t, drained.Load())
	require.EqualValues(t, 2*calls, others.Load())
}
