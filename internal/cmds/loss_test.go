package cmds_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/cmds"
)

func TestLossesAreSummedUpByIntervalKindAndReason(t *testing.T) {
	refusal := func(at, kind, reason, detail string) string {
		return `{"msg":"decision","node":"n","at":"2026-02-27T23:58:4` + at + `Z","step":"refuse","op":"1","service":"logboek","kind":"` + kind +
			`","outcome":"notRun","reason":"` + reason + `","detail":"` + detail + `","revision":4}`
	}
	in := strings.Join([]string{
		"  41.2 n " + refusal("2.1", "read", "overload", "rank 0.80, level 0.60 of alarm "),
		refusal("3.9", "read", "overload", "rank 0.90, level 0.50 of alarm (weight 0.25) "),
		refusal("3.9", "read", "overload", "rank 0.90, level 0.50 of archief (calls unknown) "),
		refusal("3.9", "sign", "queueFull", "rank 0.10, level 1.00 of  running 27"),
		refusal("4.0", "read", "overload", "rank 0.70, level 0.20 of alarm "),
		routeLine, lifeLine, "no JSON", `{"msg":"decision","step":"refuse",`, "",
	}, "\n")
	var out, errs bytes.Buffer
	env := cmds.Env{Context: t.Context(), In: strings.NewReader(in), Out: &out, Err: &errs}
	require.Equal(t, cmds.ExitOK, cmds.Run(env, []string{"losses", "-"}), errs.String())
	var rows []string
	for line := range strings.Lines(out.String()) {
		rows = append(rows, strings.Join(strings.Fields(line), " "))
	}
	require.Equal(t, []string{
		"from service kind outcome reason count binding level rank",
		"2026-02-27T23:58:42Z logboek read notRun overload 2 alarm 0.55 0.85",
		"2026-02-27T23:58:42Z logboek read notRun overload 1 archief 0.50 0.90",
		"2026-02-27T23:58:42Z logboek sign notRun queueFull 1 - - -",
		"2026-02-27T23:58:44Z logboek read notRun overload 1 alarm 0.20 0.70",
	}, rows)
	require.Contains(t, errs.String(), "1 lines of refusals could not be read")
}

func TestLossesNeedAnIntervalAndALog(t *testing.T) {
	code, _, errs := run(t, "losses", "--interval", "0s", "-")
	require.Equal(t, cmds.ExitUsage, code)
	require.Contains(t, errs, "interval 0s is not positive")
	code, _, _ = run(t, "losses")
	require.Equal(t, cmds.ExitUsage, code)
}
