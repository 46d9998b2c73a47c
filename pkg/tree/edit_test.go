package tree_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

func parse(t require.TestingT, text string) *tree.Tree {
	parsed, err := tree.Parse(text)
	require.NoError(t, err)

	return parsed
}

func TestSetPreservesOtherText(t *testing.T) {
	text := baseText + "attempts = 4 # few\n\n# the alarms\n[service.alarm]\ndeadline = \"1s\" # short\n"
	for _, tt := range []struct{ dotted, literal, want string }{
		{"attempts", "5", strings.Replace(text, "4 #", "5 #", 1)},
		{"service.alarm.deadline", "1500ms", strings.Replace(text, `"1s"`, `"1.5s"`, 1)},
		{"service.alarm.deadline", "", strings.Replace(text, "[service.alarm]\ndeadline = \"1s\" # short\n", "", 1)},
		{"service.alarm.priority", "vital", text + "priority = \"vital\"\n"},
		{"depth", "9", strings.Replace(text, "few\n", "few\ndepth = 9\n", 1)},
		{"place.hal-a.drainTarget", `["hal-a"]`, text + "\n[place.hal-a]\ndrainTarget = [\"hal-a\"]\n"},
	} {
		edited, err := parse(t, text).Set(tt.dotted, tt.literal)
		require.NoError(t, err, tt.dotted)
		require.Equal(t, tt.want, edited.Text(), tt.dotted)
	}
	for dotted, literal := range map[string]string{"atempts": "5", "attempts": "many", "service.alarm": "3", "place.hal-z.attempts": "2", "depth": ""} {
		_, err := parse(t, text).Set(dotted, literal)
		var problems tree.Problems
		require.True(t, errors.As(err, &problems), "%s: %v", dotted, err)
	}
}

func TestMergeConflictShowsBothValues(t *testing.T) {
	start := parse(t, baseText+"attempts = 4\n")
	head, err := start.Set("attempts", "5")
	require.NoError(t, err)
	overlap, err := start.Set("attempts", "6")
	require.NoError(t, err)
	_, err = tree.Merge(start, head, overlap)
	var conflicts tree.Conflicts
	require.True(t, errors.As(err, &conflicts))
	require.Equal(t, "attempts: was 4, accepted meanwhile 5, this edit 6", conflicts.Error())

	disjoint, err := start.Set("service.alarm.priority", "vital")
	require.NoError(t, err)
	merged, err := tree.Merge(start, head, disjoint)
	require.NoError(t, err)
	require.Len(t, tree.Diff(start, merged), 2)

	withoutAlarm, err := start.Set("services", `["logboek"]`)
	require.NoError(t, err)
	_, err = tree.Merge(start, withoutAlarm, disjoint)
	require.ErrorContains(t, err, "unknown service")
}

func TestPlanCountsAffectedTargets(t *testing.T) {
	from := parse(t, baseText+"[place.hal-a]\nattempts = 3\n")
	to, err := from.Set("attempts", "500")
	require.NoError(t, err)
	targets := []tree.Target{{Place: "hal-a", Service: "alarm"}, {Place: "hal-b", Service: "alarm"}, {Place: "hal-b", Service: "logboek"}}
	plan := tree.NewPlan(from, to, targets)
	require.Equal(t, 2, plan.Touched)
	require.Equal(t, 3, plan.Total)
	require.Len(t, plan.Steps, 1)
	require.Equal(t, 2, plan.Steps[0].Targets)
	require.Equal(t, []tree.NearBound{{Dotted: "attempts", Value: *plan.Steps[0].After, Bound: "near the most, 512"}}, plan.NearBounds)
}

// drawEdits applies a random sequence of edits, skipping invalid ones, and returns the resulting tree.
func drawEdits(rt *rapid.T, from *tree.Tree, label string) *tree.Tree {
	literals := map[string][]string{
		"attempts": {"2", "7", ""}, "deadline": {"1s", "250ms", ""}, "retryRatio": {"0.2", ""}, "spillAt": {"0.5", "0.9", ""},
	}
	places := []string{"", "place.hal-a.", "place.hal-b."}
	services := []string{"", "service.alarm.", "service.logboek."}
	for i := range rapid.IntRange(0, 6).Draw(rt, label) {
		key := rapid.SampledFrom([]string{"attempts", "deadline", "retryRatio", "spillAt"}).Draw(rt, fmt.Sprint(label, "key", i))
		dotted := rapid.SampledFrom(places).Draw(rt, "place") + rapid.SampledFrom(services).Draw(rt, "service") + key
		if edited, err := from.Set(dotted, rapid.SampledFrom(literals[key]).Draw(rt, "value")); err == nil {
			from = edited
		}
	}

	return from
}

// TestMergeProperty checks that a merge contains both edits in either order, or fails with the conflicting settings.
func TestMergeProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		start := drawEdits(rt, parse(rt, baseText), "start")
		left, right := drawEdits(rt, start, "left"), drawEdits(rt, start, "right")
		leftFirst, errLeftFirst := tree.Merge(start, left, right)
		rightFirst, errRightFirst := tree.Merge(start, right, left)
		require.Equal(rt, errLeftFirst == nil, errRightFirst == nil)
		if errLeftFirst != nil {
			var conflicts tree.Conflicts
			require.True(rt, errors.As(errLeftFirst, &conflicts), "%v", errLeftFirst)

			return
		}
		require.Empty(rt, tree.Diff(leftFirst, rightFirst))
		for _, side := range []*tree.Tree{left, right} {
			for _, change := range tree.Diff(start, side) {
				s, found := leftFirst.Statement(change.Dotted())
				require.Equal(rt, change.After != nil, found)
				require.True(rt, !found || s.Value.Equal(*change.After))
			}
		}
		require.Len(rt, tree.Diff(start, leftFirst), unionSize(tree.Diff(start, left), tree.Diff(start, right)))
	})
}

func unionSize(a, b []tree.Change) int {
	dotted := map[string]bool{}
	for _, change := range append(a, b...) {
		dotted[change.Dotted()] = true
	}

	return len(dotted)
}

// TestInheritanceProperty checks that an effective value is the one stated at the most specific level.
func TestInheritanceProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		edited := drawEdits(rt, drawEdits(rt, parse(rt, baseText), "first"), "second")
		snapshot := tree.NewSnapshot(1, edited)
		place := rapid.SampledFrom([]string{"hal-a", "hal-b", "elsewhere"}).Draw(rt, "at")
		service := rapid.SampledFrom([]string{"alarm", "logboek", "other"}).Draw(rt, "of")
		want := tree.DefaultPolicy().Attempts
		for _, dotted := range []string{"attempts", "place." + place + ".attempts", "service." + service + ".attempts", "place." + place + ".service." + service + ".attempts"} {
			if s, found := edited.Statement(dotted); found {
				_, err := fmt.Sscan(s.Value.String(), &want)
				require.NoError(rt, err)
			}
		}
		require.Equal(rt, want, snapshot.Policy(place, service, "GET", "/").Attempts)
	})
}
