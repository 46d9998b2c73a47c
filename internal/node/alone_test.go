package node_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/gossip"
	"github.com/pistachiotack/pistachiotack/internal/node"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

func TestNodeWithoutBackendServerIsNoTarget(t *testing.T) {
	target := startFleet(t, testTree, http.NotFoundHandler())[0]
	entryNode, err := node.Start(t.Context(), config.Node{
		Name: "alone", DataCentre: "hal-a", Service: service,
		Fleet: config.Fleet{Seeds: []string{target.Addresses().Control}},
	}.WithDefaults(), tree.EmptySnapshot(), node.DiscardLogs())
	require.NoError(t, err)
	t.Cleanup(func() { _ = entryNode.Stop() })
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + target.Addresses().Operators + gossip.PathStatus)
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		var status gossip.Status
		require.NoError(t, json.NewDecoder(response.Body).Decode(&status))

		return len(status.Members) == 2 && status.Members[0].ID == "alone" && status.Members[0].State == member.StateServing
	}, waitTimeout, waitInterval)
	require.Len(t, target.Members(service), 1)
}
