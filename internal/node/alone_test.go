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

func TestEntryWithoutBackendServerServesButIsNoTarget(t *testing.T) {
	target := startFleet(t, testTree, http.NotFoundHandler())[0]
	alone, err := node.Start(t.Context(), config.Node{
		Name: "alone", DataCentre: "hal-a", Service: service,
		Fleet: config.Fleet{Seeds: []string{target.Addresses().Control}},
	}.WithDefaults(), tree.EmptySnapshot(), node.DiscardLogs())
	require.NoError(t, err)
	t.Cleanup(func() { _ = alone.Stop() })
	require.Eventually(t, func() bool {
		answer, err := http.Get("http://" + target.Addresses().Operators + gossip.PathStatus)
		require.NoError(t, err)
		defer func() { _ = answer.Body.Close() }()
		var status gossip.Status
		require.NoError(t, json.NewDecoder(answer.Body).Decode(&status))

		return len(status.Members) == 2 && status.Members[0].ID == "alone" && status.Members[0].State == member.StateServing
	}, waitLimit, waitTick)
	require.Len(t, target.Members(service), 1)
}
