package mesh_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/load"
	"github.com/pistachiotack/pistachiotack/internal/mesh"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

const benchBytes = 1 << 10

// BenchmarkCall pairs calls through two nodes with direct ones; the difference is what entry and executing node cost.
func BenchmarkCall(b *testing.B) {
	example := load.Example{
		Name: "bench", Scale: 1, DataCentres: []string{"hal-a"}, Deep: "logboek",
		Services: []load.Service{
			{Name: "logboek", Targets: 1, Slots: 64, Connections: 128},
			{Name: "keuring", Targets: 1, Slots: 64, Connections: 128},
		},
		Kinds: []load.Kind{{
			Name: "readings", Service: "logboek", Method: http.MethodGet, Path: "/cells/%d", Share: 1,
			Class: call.ClassNormal, Bytes: benchBytes,
		}},
	}
	fleet, clean, err := mesh.New(context.Background(), mesh.Options{Example: example, Snapshot: tree.EmptySnapshot(), Seed: 1})
	require.NoError(b, err)
	b.Cleanup(clean)
	ways := []struct{ name, address string }{
		{"direct", fleet.Backends[0].Server.Address()},
		{"through", fleet.Nodes[1].Addresses().Callers},
	}
	for _, way := range ways {
		b.Run(way.name, func(b *testing.B) {
			caller := fake.NewGateway(way.address)
			hop := fake.Hop{Service: "logboek", Method: http.MethodGet, Path: "/cells/1"}
			b.ReportAllocs()
			for b.Loop() {
				status, body, err := caller.Call(context.Background(), hop, "", "")
				require.NoError(b, err)
				require.Equal(b, http.StatusOK, status)
				require.Len(b, body, benchBytes)
			}
		})
	}
}
