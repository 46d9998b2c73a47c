package trial_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var startedAt = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func count(offered, good uint64) trial.Count { return trial.Count{Offered: offered, Good: good} }

func TestJudge(t *testing.T) {
	const second = time.Second
	for name, tt := range map[string]struct {
		elapsed        time.Duration
		trial, control trial.Count
		untested       bool
		action         trial.Action
		reason         call.Reason
	}{
		"good but too early":       {4 * second, count(100, 100), count(400, 400), false, trial.ActionWait, ""},
		"good":                     {5 * second, count(100, 99), count(400, 400), false, trial.ActionAccept, trial.ReasonGuardHeld},
		"bad and early":            {1 * second, count(100, 50), count(400, 400), false, trial.ActionRefuse, trial.ReasonGuardBroken},
		"bad without control":      {1 * second, count(100, 50), count(0, 0), false, trial.ActionRefuse, trial.ReasonGuardBroken},
		"too few and early":        {1 * second, count(5, 0), count(400, 400), false, trial.ActionWait, ""},
		"few but far worse":        {1 * second, count(8, 2), count(400, 400), false, trial.ActionRefuse, trial.ReasonGuardBroken},
		"one failure of nine":      {1 * second, count(9, 8), count(61, 61), false, trial.ActionWait, ""},
		"few without control":      {1 * second, count(8, 2), count(4, 4), false, trial.ActionWait, ""},
		"overload everywhere":      {5 * second, count(100, 50), count(400, 200), false, trial.ActionAccept, trial.ReasonOverloadElsewhere},
		"bad in an overload":       {5 * second, count(200, 50), count(400, 200), false, trial.ActionRefuse, trial.ReasonGuardBroken},
		"better in an overload":    {5 * second, count(100, 80), count(400, 200), false, trial.ActionAccept, trial.ReasonOverloadElsewhere},
		"insignificant, waits":     {5 * second, count(28, 26), count(138, 136), false, trial.ActionWait, ""},
		"guard met in extension":   {9 * second, count(56, 54), count(276, 274), false, trial.ActionAccept, trial.ReasonGuardHeld},
		"within chance":            {10 * second, count(28, 26), count(138, 136), false, trial.ActionAccept, trial.ReasonWithinChance},
		"no traffic, waits longer": {9 * second, count(3, 3), count(400, 400), false, trial.ActionWait, ""},
		"no traffic":               {10 * second, count(3, 3), count(400, 400), false, trial.ActionRefuse, trial.ReasonNoTraffic},
		"no traffic, untested":     {5 * second, count(0, 0), count(0, 0), true, trial.ActionAccept, trial.ReasonUntested},
		"untested but bad":         {5 * second, count(100, 50), count(400, 400), true, trial.ActionRefuse, trial.ReasonGuardBroken},
	} {
		t.Run(name, func(t *testing.T) {
			guard := trial.Guard{Goodput: 0.95, Duration: 5 * second, Untested: tt.untested}
			entries := trial.Comparison{Name: "entries", Trial: tt.trial, Control: tt.control}
			executing := trial.Comparison{Name: "executing nodes"}
			for _, comparisons := range [][]trial.Comparison{{entries, executing}, {executing, entries}} {
				verdict := trial.Judge(guard, tt.elapsed, comparisons)
				require.Equal(t, tt.action, verdict.Action, verdict.Detail)
				require.Equal(t, tt.reason, verdict.Reason)
			}
		})
	}
}

// TestJudgeProperty checks that a proposal is refused if its nodes are clearly worse than the guard and the control group.
func TestJudgeProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		offered := rapid.Uint64Range(100, 5000).Draw(rt, "offered")
		control := rapid.Uint64Range(90, 100).Draw(rt, "control")
		share := rapid.Uint64Range(0, 60).Draw(rt, "share")
		elapsed := time.Duration(rapid.Int64Range(0, 30).Draw(rt, "elapsed")) * time.Second
		comparisons := []trial.Comparison{{Trial: count(offered, offered*share/100), Control: count(1000, 10*control)}}
		verdict := trial.Judge(trial.Guard{Goodput: 0.95, Duration: 5 * time.Second, Untested: true}, elapsed, comparisons)
		require.Equal(rt, trial.ActionRefuse, verdict.Action)
	})
}

// TestProposalTransitionsProperty checks for random sequences of events that a decided proposal does not change, that only a
// proposal past its expiry time expires, and that only one on trial and before that time is accepted.
func TestProposalTransitionsProperty(t *testing.T) {
	triggers := []trial.Trigger{trial.TriggerBegin, trial.TriggerAccept, trial.TriggerRefuse, trial.TriggerExpire}
	rapid.Check(t, func(rt *rapid.T) {
		p := trial.New("edit", "author", "node", 3, startedAt, startedAt.Add(10*time.Second))
		for range rapid.IntRange(1, 8).Draw(rt, "events") {
			event := trial.Event{
				Trigger:  rapid.SampledFrom(triggers).Draw(rt, "trigger"),
				Now:      startedAt.Add(time.Duration(rapid.Int64Range(0, 20).Draw(rt, "now")) * time.Second),
				Reason:   trial.ReasonGuardHeld,
				Revision: rapid.Uint64Range(0, 2).Draw(rt, "revision"),
			}
			next, err := p.Fire(event)
			late := !event.Now.Before(p.ExpiresAt)
			switch {
			case err != nil:
				require.ErrorIs(rt, err, trial.ErrForbidden)
				require.Equal(rt, p, next)
			case next.State == trial.StateAccepted:
				require.Equal(rt, trial.StateOnTrial, p.State)
				require.False(rt, late)
				require.Equal(rt, event.Revision, next.Revision)
				require.NotZero(rt, next.Revision)
			case next.State == trial.StateExpired:
				require.True(rt, late)
			}
			if p.State.Final() {
				require.Error(rt, err)
			}
			if event.Trigger == trial.TriggerRefuse && !p.State.Final() {
				require.Equal(rt, trial.StateRefused, next.State)
			}
			if event.Trigger == trial.TriggerExpire && late && !p.State.Final() {
				require.Equal(rt, trial.StateExpired, next.State)
			}
			p = next
		}
	})
}

func TestCountSince(t *testing.T) {
	require.Equal(t, count(4, 3), count(10, 8).Since(count(6, 5)))
	require.Equal(t, count(2, 2), count(2, 2).Since(count(6, 5)))
	require.Equal(t, count(2, 2), count(8, 8).Since(count(6, 5)), "no more good than offered requests")
	require.InDelta(t, 1.0, count(0, 0).Share(), 0)
}
