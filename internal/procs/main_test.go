package procs_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/load"
	"github.com/pistachiotack/pistachiotack/internal/procs"
	"github.com/pistachiotack/pistachiotack/pkg/config"
)

// Short runs in CI use small fleets at a low rate, so that several of them share a machine with other tests.
const (
	shortScale = 40
	shortSeed  = 1
	// fleetsAtOnce bounds the fleets of six nodes and more that share one machine's processors.
	fleetsAtOnce = 3
)

// running holds one place for each fleet that runs.
var running = make(chan struct{}, fleetsAtOnce)

func TestMain(m *testing.M) {
	code := m.Run()
	procs.RemoveBinary()
	os.Exit(code)
}

func example(t *testing.T, name string) load.Example {
	t.Helper()
	example, err := load.FindExample(name)
	require.NoError(t, err)
	example.Scale = shortScale

	return example
}

// start runs a fleet of the example's nodes.
func start(t *testing.T, options procs.Options) *procs.Fleet {
	t.Helper()
	running <- struct{}{}
	t.Cleanup(func() { <-running })
	binary, err := procs.Binary(t.Context())
	require.NoError(t, err)
	options.Binary = binary
	options.Directory = t.TempDir()
	options.Seed = shortSeed
	if options.Policy == "" {
		options.Policy = config.PolicyAdaptive
	}
	options.Change = func(n *config.Node) { n.Log.Decisions = true }
	fleet, clean, err := procs.Start(t.Context(), options)
	require.NoError(t, err)
	t.Cleanup(clean)
	t.Cleanup(func() { logNodes(t, fleet) })

	return fleet
}

// logNodes prints the end of the nodes' logs if the test has failed, as they are removed with its directory.
func logNodes(t *testing.T, fleet *procs.Fleet) {
	t.Helper()
	if !t.Failed() {
		return
	}
	for _, member := range fleet.Members {
		t.Logf("%s, running %t:\n%s", member.Node.Settings().Name, member.Node.Running(), member.Node.Log())
	}
}

// requireKept fails with the nodes' decisions about the requests whose promise was broken.
func requireKept(t *testing.T, fleet *procs.Fleet, report *load.Report) {
	t.Helper()
	for _, broken := range report.Broken {
		t.Logf("%+v\n%s", broken, fleet.Trail(broken.Record.Operation))
	}
	require.Equal(t, load.Violations{}, report.Violations)
}

func treeOf(t *testing.T, name string) string {
	t.Helper()
	file, err := filepath.Abs(filepath.Join("..", "..", "examples", name, "tree.toml"))
	require.NoError(t, err)

	return file
}

func shortTiming() procs.Timing {
	return procs.Timing{Before: 1500 * time.Millisecond, During: 1500 * time.Millisecond, After: 5 * time.Second}
}
