package proof_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/load"
	"github.com/pistachiotack/pistachiotack/internal/proof"
	"github.com/pistachiotack/pistachiotack/pkg/config"
)

// Short runs in CI use small fleets at a low rate, so that twelve of them share a machine with other tests.
const (
	shortScale = 40
	shortSeed  = 1
)

func TestMain(m *testing.M) {
	code := m.Run()
	proof.RemoveBinary()
	os.Exit(code)
}

func example(t *testing.T, name string) load.Example {
	t.Helper()
	example, err := load.FindExample(name)
	require.NoError(t, err)
	example.Scale = shortScale

	return example
}

// start runs a fleet and shows the nodes' logs if the test fails.
func start(t *testing.T, options proof.Options) *proof.Fleet {
	t.Helper()
	binary, err := proof.Binary(t.Context())
	require.NoError(t, err)
	options.Binary = binary
	options.Directory = t.TempDir()
	options.Seed = shortSeed
	if options.Policy == "" {
		options.Policy = config.PolicyAdaptive
	}
	fleet, clean, err := proof.Start(t.Context(), options)
	require.NoError(t, err)
	t.Cleanup(func() {
		clean()
		if t.Failed() {
			showLogs(t, fleet)
		}
	})

	return fleet
}

func showLogs(t *testing.T, fleet *proof.Fleet) {
	t.Helper()
	for _, member := range fleet.Members[:min(2, len(fleet.Members))] {
		t.Logf("end of the log of %s:\n%s", member.Backend.Name, member.Node.Log())
	}
}

func treeOf(t *testing.T, name string) string {
	t.Helper()
	file, err := filepath.Abs(filepath.Join("..", "..", "examples", name, "tree.toml"))
	require.NoError(t, err)

	return file
}

func shortTiming() proof.Timing {
	return proof.Timing{Before: 1500 * time.Millisecond, During: 1500 * time.Millisecond, After: 5 * time.Second}
}
