package cmds_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/cmds"
)

func run(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = cmds.Run(cmds.Env{Context: t.Context(), Out: &stdout, Err: &stderr, Examples: fstest.MapFS{}}, args)

	return code, stdout.String(), stderr.String()
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
