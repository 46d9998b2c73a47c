package node_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/node"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// discardWriter discards log lines, so that the benchmark includes formatting them.
type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// BenchmarkCall measures calls through an entry node and an executing node, with the decision log enabled.
func BenchmarkCall(b *testing.B) {
	listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "done")
	})}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	nodes := make([]*node.Node, 0, 2)
	for _, settings := range []config.Node{
		{Name: "entry", Service: "front"},
		{Name: "target", Service: service, Backend: config.Backend{Address: listener.Addr().String()}},
	} {
		settings.DataCentre = "hal-a"
		settings.Log.Decisions = true
		started, err := node.Start(b.Context(), settings.WithDefaults(), tree.EmptySnapshot(), node.Logs{Log: slog.New(slog.DiscardHandler), Decisions: discardWriter{}})
		require.NoError(b, err)
		b.Cleanup(func() { _ = started.Stop() })
		nodes = append(nodes, started)
	}
	introduce(nodes...)
	address := nodes[0].Addresses().Callers
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		for pb.Next() {
			request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+address+"/inspections/1", nil)
			require.NoError(b, err)
			request.Header.Set(wire.HeaderService, service)
			response, err := client.Do(request)
			require.NoError(b, err)
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			require.Equal(b, http.StatusOK, response.StatusCode, "%s", body)
		}
	})
}
