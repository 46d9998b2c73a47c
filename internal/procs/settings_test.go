package procs_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/cmds"
	"github.com/pistachiotack/pistachiotack/internal/load"
	"github.com/pistachiotack/pistachiotack/internal/plat"
	"github.com/pistachiotack/pistachiotack/internal/procs"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// operator runs a settings command against a node and returns what it prints and its exit code.
func operator(ctx context.Context, member *procs.Member, args ...string) (string, int) {
	var out bytes.Buffer
	env := cmds.Env{Context: ctx, Out: &out, Err: &out}
	code := cmds.Run(env, append([]string{"settings", "--node", member.Node.Settings().Listen.Operators}, args...))

	return out.String(), code
}

// quickTrial writes the example's tree with a shorter trial, and one with readings that cannot be in time.
func quickTrial(t *testing.T) (good, bad string) {
	t.Helper()
	text, err := os.ReadFile(treeOf(t, "rijksbureau"))
	require.NoError(t, err)
	parsed, err := tree.Parse(strings.Replace(string(text), `trialTime = "5s"`, `trialTime = "2s"`, 1))
	require.NoError(t, err)
	directory := t.TempDir()
	good, bad = filepath.Join(directory, "good.toml"), filepath.Join(directory, "bad.toml")
	require.NoError(t, os.WriteFile(good, []byte(parsed.Text()), 0o600))
	for _, setting := range [][2]string{{"queueWait", "10ms"}, {"deadline", "20ms"}} {
		parsed, err = parsed.Set("service.logboek.kind.reading."+setting[0], setting[1])
		require.NoError(t, err)
	}
	require.NoError(t, os.WriteFile(bad, []byte(parsed.Text()), 0o600))

	return good, bad
}

// holds waits until each of the nodes shows the revision.
func holds(t *testing.T, members []*procs.Member, header string) {
	t.Helper()
	for _, member := range members {
		require.Eventually(t, func() bool {
			out, code := operator(t.Context(), member, "show")

			return code == cmds.ExitOK && strings.HasPrefix(out, header)
		}, 30*time.Second, 50*time.Millisecond, member.Backend.Name)
	}
}

// TestSettingsOverRealProcesses: under load a bad edit is refused on evidence and a good one accepted, it stays in force while
// the table is away, and a node that is replaced meanwhile gets it from its peers.
func TestSettingsOverRealProcesses(t *testing.T) {
	good, bad := quickTrial(t)
	// Targets with few slots refuse important calls now and then, which entries place elsewhere; these have slots to spare.
	roomy := example(t, "rijksbureau")
	roomy.Scale = load.DefaultScale
	fleet := start(t, procs.Options{Example: roomy, Tree: good})
	var violations load.Violations
	ended := make(chan error, 1)
	go func() {
		report, err := fleet.Play(t.Context(), procs.Scenario{Name: "edits", Usual: 0.2}, procs.Timing{
			Before: 6 * time.Second, During: 2 * time.Second, After: 2 * time.Second,
		}, nil)
		if err == nil {
			violations = report.Violations
		}
		ended <- err
	}()
	require.Eventually(t, func() bool {
		out, code := operator(t.Context(), fleet.Members[0], "plan", bad)

		return code == cmds.ExitOK && strings.Contains(out, "2 changes touch 5 of 18 targets.")
	}, 30*time.Second, 50*time.Millisecond)
	out, code := operator(t.Context(), fleet.Members[0], "apply", bad, "--base", "0", "--author", "anna")
	require.Equal(t, cmds.ExitFailure, code, out)
	require.Contains(t, out, "refused (guardBroken)")

	out, code = operator(t.Context(), fleet.Members[3], "set", "service.alarm.queueLength", "99", "--author", "bert")
	require.Equal(t, cmds.ExitOK, code, out)
	require.Contains(t, out, "accepted (guardHeld): revision 1")
	fleet.Platform.SetFault(plat.NewFault(plat.ModeDown))
	holds(t, fleet.Members, "# revision 1,")

	replaced := fleet.Members[2]
	require.NoError(t, replaced.Node.Kill())
	require.NoError(t, replaced.Node.Restart(t.Context()))
	holds(t, []*procs.Member{replaced}, "# revision 1,")
	fleet.Platform.SetFault(plat.NewFault(plat.ModeNone))
	require.Eventually(t, func() bool {
		out, code = operator(t.Context(), fleet.Members[1], "log")

		return code == cmds.ExitOK && strings.Contains(out, "refused  anna") && strings.Contains(out, "accepted  revision 1  bert")
	}, 30*time.Second, 50*time.Millisecond)
	require.NoError(t, <-ended)
	require.Equal(t, load.Violations{}, violations)
}
