package cmds_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"testing/fstest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/cmds"
)

func run(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = cmds.Run(cmds.Env{Context: t.Context(), Out: &stdout, Err: &stderr, Examples: fstest.MapFS{}}, args)

	return code, stdout.String(), stderr.String()
}

// blocked takes nothing, as a pipe that nobody reads.
type blocked struct{}

func (blocked) Write([]byte) (int, error) {
	select {}
}

func TestNodeThatCannotStartEndsThoughNobodyReadsItsOutput(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.toml")
	// the address belongs to no interface
	settings := "name = \"a\"\ndataCentre = \"hal-a\"\n[listen]\ncontrol = \"192.0.2.1:1\"\n"
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	code := make(chan int, 1)
	go func() {
		env := cmds.Env{Context: t.Context(), Out: blocked{}, Err: blocked{}, Examples: fstest.MapFS{}}
		code <- cmds.Run(env, []string{"node", "--settings", file})
	}()
	select {
	case got := <-code:
		require.Equal(t, cmds.ExitFailure, got)
	case <-time.After(10 * time.Second):
		require.Fail(t, "waits for the reader of its output")
	}
}

func TestExitCodes(t *testing.T) {
	directory := t.TempDir()
	bad := filepath.Join(directory, "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("name = \"a\"\ndataCenter = \"hal-a\"\n"), 0o600))
	good := filepath.Join(directory, "good.toml")
	require.NoError(t, os.WriteFile(good, []byte("name = \"a\"\ndataCentre = \"hal-a\"\n"), 0o600))
	tests := map[string]struct {
		args []string
		code int
		out  string
		errs string
	}{
		"version":                {args: []string{"version"}, code: cmds.ExitOK, out: "pistachiotack"},
		"help":                   {args: []string{"--help"}, code: cmds.ExitOK, out: "Exit codes"},
		"no command":             {args: nil, code: cmds.ExitUsage, errs: "--help"},
		"unknown command":        {args: []string{"dance"}, code: cmds.ExitUsage, errs: "dance"},
		"unknown example":        {args: []string{"demo", "--example", "x"}, code: cmds.ExitUsage, errs: "rijksbureau"},
		"settings file missing":  {args: []string{"node", "--settings", filepath.Join(directory, "none")}, code: cmds.ExitUsage, errs: "none"},
		"settings with a fault":  {args: []string{"node", "--settings", bad}, code: cmds.ExitUsage, errs: `bad.toml:2: dataCenter: unknown key, did you mean "dataCentre"`},
		"settings are good":      {args: []string{"node", "--check", "--settings", good}, code: cmds.ExitOK},
		"node cannot be reached": {args: []string{"explain", "x", "--node", "127.0.0.1:1"}, code: cmds.ExitFailure, errs: "127.0.0.1:1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			code, out, errs := run(t, test.args...)
			require.Equal(t, test.code, code, errs)
			require.Contains(t, out, test.out)
			require.Contains(t, errs, test.errs)
		})
	}
}
