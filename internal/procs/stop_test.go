package procs_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/procs"
)

// TestGracefulStopUnderLoadCutsNothing stops each node of one service by SIGTERM while callers use all nodes.
func TestGracefulStopUnderLoadCutsNothing(t *testing.T) {
	t.Parallel()
	fleet := start(t, procs.Options{Example: small(t), Tree: treeOf(t, "rijksbureau")})
	scenario := procs.Scenario{Name: "stop", Usual: 0.3, Begin: func(ctx context.Context, f *procs.Fleet) error {
		for _, member := range f.Of("keuring") {
			if err := f.RestartGracefully(ctx, member.Node); err != nil {
				return err
			}
		}

		return nil
	}}
	report, err := fleet.Play(t.Context(), scenario, procs.Timing{Before: time.Second, During: 3 * time.Second, After: 3 * time.Second}, nil)
	require.NoError(t, err)
	requireKept(t, fleet, report)
	for _, kind := range report.Kinds {
		require.Zero(t, kind.Cut, "%s, phase %s", kind.Kind, kind.Phase)
	}
}
