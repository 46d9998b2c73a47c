package config_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/config"
)

const validSettings = `name = "logboek-1"
dataCentre = "hal-a"
service = "logboek"

[backend]
address = "127.0.0.1:8080"
slots = 130
`

func TestParseFillsDefaults(t *testing.T) {
	node, err := config.Parse("node.toml", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, 130, node.Backend.Slots)
	require.Equal(t, config.PolicyAdaptive, node.Policy)
	require.Equal(t, config.OrphanRefuse, node.Backend.OrphanCalls)
	require.Equal(t, node, node.WithDefaults(), "setting defaults again changes nothing")
}

func TestParseReportsFault(t *testing.T) {
	tests := map[string]struct {
		add     string
		line    int
		key     string
		problem string
	}{
		"unknown key":        {add: "slotz = 3\n", line: 8, key: "backend.slotz", problem: `did you mean "slots"`},
		"out of range":       {add: "connections = -4\n", line: 8, key: "backend.connections", problem: "allowed are 1 to 100000"},
		"unit missing":       {add: "[fleet]\npoll = \"5\"\n", line: 9, key: "fleet.poll", problem: "missing unit"},
		"interval too short": {add: "[fleet]\npoll = \"1ms\"\n", line: 9, key: "fleet.poll", problem: "allowed are 10ms to 1h0m0s"},
		"wrong type":         {add: "health = 7\n", line: 8, key: "backend.health", problem: "cannot"},
		"not an address":     {add: "[listen]\npeers = \"localhost\"\n", line: 9, key: "listen.peers", problem: "write IP:PORT"},
		"not a choice":       {add: "orphanCalls = \"maybe\"\n", line: 8, key: "backend.orphanCalls", problem: "use one of refuse, root"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := config.Parse("node.toml", []byte(validSettings+test.add))
			var fault *config.FileError
			require.ErrorAs(t, err, &fault)
			require.Equal(t, "node.toml", fault.File)
			require.Equal(t, test.line, fault.Line)
			require.Equal(t, test.key, fault.Key)
			require.Contains(t, fault.Problem, test.problem)
		})
	}
}

func TestParseRequiresName(t *testing.T) {
	_, err := config.Parse("node.toml", []byte("dataCentre = \"hal-a\"\n"))
	require.ErrorContains(t, err, "node.toml: name: is required")
}

func TestLoadMissingFile(t *testing.T) {
	_, err := config.Load(filepath.Join(t.TempDir(), "none.toml"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("name = 3")
	f.Add("[backend\n")
	f.Fuzz(func(t *testing.T, text string) {
		node, err := config.Parse("fuzz.toml", []byte(text))
		if err != nil {
			var fault *config.FileError
			require.ErrorAs(t, err, &fault)

			return
		}
		require.Equal(t, node, node.WithDefaults())
	})
}

func TestShippedExamplesLoad(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/node.toml")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		_, err := config.Load(file)
		require.NoError(t, err)
	}
}
