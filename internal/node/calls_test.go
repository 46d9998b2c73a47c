package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

func TestHeadersFromCallersAreStripped(t *testing.T) {
	var received atomic.Pointer[http.Header]
	nodes := startFleet(t, testTree, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header := r.Header.Clone()
		received.Store(&header)
		_, _ = io.WriteString(w, "done")
	}))
	request := newCall(t, nodes[0], http.MethodPost, "/signoffs", "cell 7")
	for _, forged := range []string{wire.HeaderEnvelope, wire.HeaderParent, wire.HeaderOperation, wire.HeaderFeedback, wire.Prefix + "Rank"} {
		request.Header.Set(forged, "forged")
	}
	request.Header.Set("Accept-Language", "nl")
	response := do(t, request)

	require.Equal(t, http.StatusOK, response.status)
	for name, values := range *received.Load() {
		require.NotContains(t, values, "forged", name)
	}
	require.Equal(t, "nl", received.Load().Get("Accept-Language"))
	require.Equal(t, response.header.Get(wire.HeaderOperation), received.Load().Get(wire.HeaderOperation))
	require.Empty(t, response.header.Get(wire.HeaderFeedback))
	require.Empty(t, response.header.Get(wire.HeaderEnvelope))
}

func TestRefusals(t *testing.T) {
	nodes := startFleet(t, testTree+"deadline = \"5s\"\n", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/shed":
			w.Header().Set(wire.HeaderOutcome, string(call.OutcomeNotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/cut":
			panic(http.ErrAbortHandler)
		case "/slow":
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case "/endless":
			w.Header().Set("Transfer-Encoding", "identity")
			_, _ = io.WriteString(w, "no length")
			w.(http.Flusher).Flush()
		case "/missing":
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	tests := map[string]struct {
		path    string
		service string
		timeout string
		status  int
		outcome call.Outcome
		reason  call.Reason
	}{
		"backend server sheds":             {path: "/shed", status: 503, outcome: call.OutcomeNotRun, reason: call.ReasonBackendShed},
		"backend server closes connection": {path: "/cut", status: 502, outcome: call.OutcomeUnknown, reason: call.ReasonBroken},
		"deadline while running":           {path: "/slow", timeout: "200ms", status: 504, outcome: call.OutcomeUnknown, reason: call.ReasonDeadline},
		"response without length":          {path: "/endless", status: 502, outcome: call.OutcomeUnknown, reason: call.ReasonTorn},
		"service without targets":          {path: "/", service: "nowhere", status: 503, outcome: call.OutcomeNotRun, reason: call.ReasonNoTarget},
		"backend server's own status":      {path: "/missing", status: 404, outcome: call.OutcomeRan},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request := newCall(t, nodes[0], http.MethodPost, test.path, "x")
			if test.service != "" {
				request.Header.Set(wire.HeaderService, test.service)
			}
			if test.timeout != "" {
				request.Header.Set(wire.HeaderTimeout, test.timeout)
			}
			response := do(t, request)
			require.Equal(t, test.status, response.status)
			require.Equal(t, string(test.outcome), response.header.Get(wire.HeaderOutcome))
			if test.reason == "" {
				return
			}
			require.Equal(t, "application/problem+json", response.header.Get("Content-Type"))
			var problem struct {
				Status  int          `json:"status"`
				Outcome call.Outcome `json:"outcome"`
				Reason  call.Reason  `json:"reason"`
			}
			require.NoError(t, json.Unmarshal(response.body, &problem))
			require.Equal(t, test.status, problem.Status)
			require.Equal(t, test.outcome, problem.Outcome)
			require.Equal(t, test.reason, problem.Reason)
		})
	}
}

func TestCallerDisconnectCancelsExecution(t *testing.T) {
	arrived := make(chan struct{})
	cancelled := make(chan struct{})
	nodes := startFleet(t, testTree, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(cancelled)
	}))
	ctx, disconnect := context.WithCancel(t.Context())
	request := newCall(t, nodes[0], http.MethodGet, "/inspections/1", "").WithContext(ctx)
	request.Header.Set(wire.HeaderTimeout, "60s")
	ended := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(request) //nolint:bodyclose // there is no response
		ended <- err
	}()
	<-arrived
	disconnect()
	require.ErrorIs(t, <-ended, context.Canceled)
	<-cancelled
}

// TestLateResponsesAreDiscarded guards against a late response being passed to the caller of another request. Of the first
// requests every other one times out; then the backend server responds to all of these at once, while further requests are made.
func TestLateResponsesAreDiscarded(t *testing.T) {
	release := make(chan struct{})
	var once sync.Once
	nodes := startFleet(t, testTree, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Late") != "" {
			<-release
		}
		_, _ = fmt.Fprintf(w, "response to %s", r.URL.Path)
	}))
	t.Cleanup(func() { once.Do(func() { close(release) }) })
	const firstReleased = 19
	for i := range 2 * firstReleased {
		path := fmt.Sprintf("/inspections/%d", i)
		request := newCall(t, nodes[0], http.MethodGet, path, "")
		if i%2 == 0 {
			request.Header.Set("X-Late", "yes")
		}
		timesOut := i%2 == 0 && i < firstReleased
		if timesOut {
			request.Header.Set(wire.HeaderTimeout, "50ms")
		}
		response := do(t, request)
		require.NoError(t, response.bodyErr)
		if timesOut {
			require.Equal(t, http.StatusGatewayTimeout, response.status)

			continue
		}
		require.Equal(t, "response to "+path, string(response.body))
		if i == firstReleased {
			once.Do(func() { close(release) })
		}
	}
}

func TestStopCompletesCallsInFlight(t *testing.T) {
	release := make(chan struct{})
	var running atomic.Int64
	nodes := startFleet(t, testTree+"deadline = \"60s\"\n", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		<-release
		_, _ = io.WriteString(w, "complete")
	}))
	leavingNode := nodes[0]
	settings, err := tree.Parse(testTree + "deadline = \"60s\"\n")
	require.NoError(t, err)
	entryNode := startNode(t, tree.NewSnapshot(1, settings), "node-other", "logboek", http.NotFoundHandler())
	introduce(leavingNode, entryNode)
	const inFlight = 8
	bodies := make(chan string, inFlight)
	for range inFlight {
		request := newCall(t, entryNode, http.MethodGet, "/inspections/1", "")
		go func() {
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				bodies <- err.Error()

				return
			}
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			bodies <- string(body)
		}()
	}
	require.Eventually(t, func() bool { return running.Load() == inFlight }, waitTimeout, waitInterval)
	stopped := make(chan error, 1)
	go func() { stopped <- leavingNode.Stop() }()
	require.Eventually(t, func() bool {
		response := do(t, newCall(t, entryNode, http.MethodPost, "/signoffs", "new work"))

		return strings.Contains(string(response.body), string(call.ReasonDraining)) ||
			strings.Contains(string(response.body), string(call.ReasonNoTarget))
	}, waitTimeout, waitInterval)
	require.EqualValues(t, inFlight, running.Load(), "a draining node accepts no new calls")
	close(release)
	for range inFlight {
		require.Equal(t, "complete", <-bodies)
	}
	select {
	case err := <-stopped:
		require.NoError(t, err)
	case <-time.After(waitTimeout):
		require.Fail(t, "the draining node did not stop")
	}
}
