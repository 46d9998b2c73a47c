package node_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// statedHandler counts the requests and responds with the status and an outcome, empty for none.
func statedHandler(runs *atomic.Int64, status int, outcome call.Outcome) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if outcome != "" {
			w.Header().Set(wire.HeaderOutcome, string(outcome))
		}
		w.WriteHeader(status)
		respondWhole(w, r)
	})
}

// Guards against a request that is sent to a second server, and then reported as not run, since the response of the first one has an
// outcome that its status doesn't bear out.
func TestOutcomeThatTheStatusContradictsIsNoRefusal(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusNotFound, http.StatusConflict} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			server := statedHandler(&runs, status, call.OutcomeNotRun)
			nodes := startFleet(t, testTree, server, server)
			response := do(t, newCall(t, nodes[0], http.MethodPost, "/signoffs", ""))
			require.Equal(t, status, response.status)
			require.Equal(t, string(call.OutcomeRan), response.header.Get(wire.HeaderOutcome))
			require.Equal(t, "whole", string(response.body))
			require.EqualValues(t, 1, runs.Load())
		})
	}
}

// Guards against a server's own status that reads as a refusal, and reaches the caller without the outcome that says it is none.
func TestStatusOfARunComesWithTheOutcomeRan(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			nodes := startFleet(t, testTree, statedHandler(&runs, status, ""))
			response := do(t, newCall(t, nodes[0], http.MethodPost, "/signoffs", ""))
			require.Equal(t, status, response.status)
			require.Equal(t, string(call.OutcomeRan), response.header.Get(wire.HeaderOutcome))
			require.EqualValues(t, 1, runs.Load())
		})
	}
}
