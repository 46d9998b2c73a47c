package cmds_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/cmds"
)

const (
	refuseLine = `{"time":"2026-02-27T23:58:42.95Z","level":"INFO","msg":"decision","node":"sidecar-hal-d-1","at":"2026-02-27T23:58:42.93Z",` +
		`"step":"refuse","op":"c8cee616","service":"nolo59a","kind":"r-44hgdse","outcome":"notRun","reason":"overload","took":34901,"revision":4}`
	routeLine = `{"time":"2026-02-27T23:58:42.94Z","level":"INFO","msg":"decision","node":"sidecar-hal-d-1","at":"2026-02-27T23:58:42.92Z",` +
		`"step":"route","op":"c8cee616","service":"nolo59a","chosen":"sidecar-hal-b-2","outcome":"notRun","reason":"queueFull","revision":4}`
	otherLine = `{"time":"2026-02-27T23:58:42.94Z","msg":"decision","node":"n","at":"2026-02-27T23:58:42.92Z","step":"route","op":"c8cee61","reason":"ok"}`
	lifeLine  = `{"time":"2026-02-27T23:58:42.94Z","msg":"backend server found","process":"c8cee616"}`
)

func TestExplainReadsLogs(t *testing.T) {
	text := strings.Join([]string{
		"  41.2 sidecar-hal-d-1 " + refuseLine, routeLine, otherLine, lifeLine, "no JSON c8cee616", `{"msg":"decision","op":"c8cee616",`, "",
	}, "\n")
	file := filepath.Join(t.TempDir(), "node.log")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	for name, test := range map[string]struct {
		file string
		in   string
	}{
		"file":           {file: file},
		"standard input": {file: "-", in: text},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errs bytes.Buffer
			env := cmds.Env{Context: t.Context(), In: strings.NewReader(test.in), Out: &out, Err: &errs}
			require.Equal(t, cmds.ExitOK, cmds.Run(env, []string{"explain", "c8cee616", "--file", test.file}), errs.String())
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			require.Len(t, lines, 2)
			require.Contains(t, lines[0], "2026-02-27T23:58:42.92Z sidecar-hal-d-1 route")
			require.Contains(t, lines[0], "chosen=sidecar-hal-b-2 outcome=notRun reason=queueFull")
			require.Contains(t, lines[1], "refuse")
			require.Contains(t, lines[1], "reason=overload")
			require.Contains(t, errs.String(), "1 lines of decisions about c8cee616 could not be read")
		})
	}
}

func TestExplainNeedsSomethingToLookIn(t *testing.T) {
	code, _, errs := run(t, "explain", "x")
	require.Equal(t, cmds.ExitUsage, code)
	require.Contains(t, errs, "--file")
	code, _, errs = run(t, "explain", "x", "--file", filepath.Join(t.TempDir(), "none"))
	require.Equal(t, cmds.ExitUsage, code)
	require.Contains(t, errs, "none")
}
