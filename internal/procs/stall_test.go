package procs_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

const stallTree = `places = ["hal-a"]
services = ["keuring"]
slowStart = "100ms"
[service.keuring.kind.inspection]
method = "GET"
path = "/inspections/*"
idempotent = true
deadline = "30s"
progress = "200ms"
retryRatio = 0.5
`

// silenced leaves the requests of the marked backend server without an answer.
type silenced struct{ *marked }

func (s silenced) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.arrive(r) {
		<-r.Context().Done()

		return
	}
	_, _ = io.WriteString(w, "inspected")
}

// TestReadsLeaveABackendServerThatAnswersNothing silences one of two backend servers, whose nodes stay well.
func TestReadsLeaveABackendServerThatAnswersNothing(t *testing.T) {
	servers := silenced{newMarked()}
	l := newLine(t, lineOptions{tree: stallTree, services: []lineService{{name: lifeService, targets: 2, handler: servers}}})
	entry, quiet := l.targets[1], l.targets[0].node.Settings().Backend.Address
	const known, more = 2, 1
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, l.inspect(t, entry).status)

		return servers.of(quiet) >= known
	}, linePatience, linePoll, "the server is known to answer")

	servers.mark(quiet)
	before := servers.of(quiet)
	require.Eventually(t, func() bool {
		require.Equal(t, http.StatusOK, l.inspect(t, entry).status, "a read waits for a server that answers nothing")

		return servers.of(quiet) >= before+more
	}, linePatience, linePoll, "a read has reached the silent server and left it again")
}
