package tree_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

func example(t *testing.T, name string) *tree.Tree {
	t.Helper()
	text, err := os.ReadFile("../../examples/" + name + "/tree.toml")
	require.NoError(t, err)
	parsed, err := tree.Parse(string(text))
	require.NoError(t, err)

	return parsed
}

func TestExamplePolicies(t *testing.T) {
	for _, tt := range []struct {
		example, place, service, method, path, kind string
		check                                       func(tree.Policy) bool
	}{
		{"rijksbureau", "hal-a", "keuring", "POST", "/signoffs", "signOff", func(p tree.Policy) bool { return p.Once && p.Priority == call.ClassVital }},
		{"rijksbureau", "hal-a", "alarm", "POST", "/alarms/?a=b", "raise", func(p tree.Policy) bool { return p.Once && p.Deadline == time.Second }},
		{"rijksbureau", "hal-b", "alarm", "HEAD", "/alarms", "list", func(p tree.Policy) bool { return p.Idempotent }},
		{"rijksbureau", "hal-c", "certificaat", "GET", "/certificates/7/archive", "archive", func(p tree.Policy) bool { return p.Stream && p.Deadline == 20*time.Minute }},
		{"rijksbureau", "hal-c", "certificaat", "GET", "/certificates/7", "status", func(p tree.Policy) bool { return !p.Stream }},
		{"rijksbureau", "hal-d", "logboek", "GET", "/export/all", "export", func(p tree.Policy) bool {
			return p.Deadline == 5*time.Second && p.QueueLength == 128 && p.SpillAt == 0.7
		}},
		{"rijksbureau", "hal-a", "logboek", "GET", "/export/all", "export", func(p tree.Policy) bool { return p.Deadline == 10*time.Second && p.QueueLength == 256 }},
		{"rijksbureau", "hal-a", "logboek", "DELETE", "/other", "", func(p tree.Policy) bool { return p.Priority == call.ClassNormal && !p.Once }},
		{"rijksbureau", "hal-d", "elders", "GET", "/", "", func(p tree.Policy) bool { return p.SpillAt == 0.7 && p.Service == "elders" }},
		{"vysocina", "jihlava", "vitrina", "GET", "/stock/tents/12", "stock", func(p tree.Policy) bool { return p.Priority == call.ClassBulk && p.SlowStart == 3*time.Second }},
		{"vysocina", "zdar", "archiv", "GET", "/drawings/a/b", "drawing", func(p tree.Policy) bool {
			return p.Stream && p.StreamShare == 0.4 && p.QueueWait == 60*time.Millisecond
		}},
		{"vysocina", "praha", "pokladna", "POST", "/deposits", "deposit", func(p tree.Policy) bool { return p.Once && p.Priority == call.ClassVital }},
		{"vysocina", "trebic", "kalendar", "POST", "/loading-lists/4/loaded", "loaded", func(p tree.Policy) bool { return p.Once }},
	} {
		t.Run(tt.place+"/"+tt.service+tt.path, func(t *testing.T) {
			snapshot := tree.NewSnapshot(3, example(t, tt.example))
			policy := snapshot.Policy(tt.place, tt.service, tt.method, tt.path)
			require.Equal(t, tt.kind, policy.Kind)
			require.Equal(t, tt.service, policy.Service)
			require.True(t, tt.check(policy), "%+v", policy)
		})
	}
}

const baseText = `places = ["hal-a", "hal-b"]
services = ["logboek", "alarm"]
`

func TestParseProblems(t *testing.T) {
	for name, tt := range map[string]struct {
		text string
		want tree.Problem
	}{
		"unknown key":         {"atempts = 3", tree.Problem{Code: tree.CodeUnknownKey, Path: "atempts", Line: 3, Got: `"atempts"`, Nearest: "attempts"}},
		"unknown place":       {"[place.hal-q]\n", tree.Problem{Code: tree.CodeUnknownPlace, Path: "place.hal-q", Line: 3, Got: `"hal-q"`, Nearest: "hal-a", Allowed: "hal-a, hal-b"}},
		"unknown service":     {"\n[service.logbok]\nattempts = 2", tree.Problem{Code: tree.CodeUnknownService, Path: "service.logbok", Line: 4, Got: `"logbok"`, Nearest: "logboek", Allowed: "logboek, alarm"}},
		"service at place":    {"place.hal-a.service.alrm.attempts = 2", tree.Problem{Code: tree.CodeUnknownService, Path: "place.hal-a.service.alrm", Line: 3, Got: `"alrm"`, Nearest: "alarm", Allowed: "logboek, alarm"}},
		"unknown kind":        {"service.alarm.kind.raise.path = \"/\"\nplace.hal-a.service.alarm.kind.rise.attempts = 2", tree.Problem{Code: tree.CodeUnknownKind, Path: "place.hal-a.service.alarm.kind.rise", Line: 4, Got: `"rise"`, Nearest: "raise", Allowed: "raise"}},
		"unknown level":       {"[plaice.hal-a]", tree.Problem{Code: tree.CodeUnknownKey, Path: "plaice.hal-a", Line: 3, Got: `"plaice"`, Nearest: "place", Allowed: "place.NAME, service.NAME, service.NAME.kind.NAME, place.NAME.service.NAME"}},
		"no unit":             {"deadline = 250", tree.Problem{Code: tree.CodeBadUnit, Path: "deadline", Line: 3, Got: `"250"`, Allowed: `a duration in quotes such as "250ms", "2s" or "10m"`}},
		"wrong unit":          {`bufferAnswer = "64KB"`, tree.Problem{Code: tree.CodeBadUnit, Path: "bufferAnswer", Line: 3, Got: `"64KB"`, Allowed: `a size in quotes such as "64KiB" or "6MiB"`}},
		"out of range":        {"attempts = 1000", tree.Problem{Code: tree.CodeOutOfRange, Path: "attempts", Line: 3, Got: "1000", Allowed: "1 to 512"}},
		"wrong type":          {"service.alarm.once = 1", tree.Problem{Code: tree.CodeWrongType, Path: "service.alarm.once", Line: 3, Got: "integer 1", Allowed: "true or false"}},
		"bad class":           {`service.alarm.priority = "vitl"`, tree.Problem{Code: tree.CodeBadUnit, Path: "service.alarm.priority", Line: 3, Got: `"vitl"`, Nearest: "vital", Allowed: "bulk, normal, high, vital"}},
		"wrong level":         {"service.alarm.trialTime = \"3s\"", tree.Problem{Code: tree.CodeWrongLevel, Path: "service.alarm.trialTime", Line: 3, Got: `"trialTime"`, Allowed: "root"}},
		"pattern of place":    {"service.alarm.kind.a.path=\"/\"\nplace.hal-a.service.alarm.kind.a.path = \"/b\"", tree.Problem{Code: tree.CodeWrongLevel, Path: "place.hal-a.service.alarm.kind.a.path", Line: 4, Got: `"path"`, Allowed: "kind"}},
		"kind without path":   {"[service.alarm.kind.raise]\nonce = true", tree.Problem{Code: tree.CodeContradiction, Path: "service.alarm.kind.raise", Line: 3, Got: "a kind without path", Allowed: `path = "/readings/*"`}},
		"bad pattern":         {"service.alarm.kind.raise.path = \"/a**/b\"", tree.Problem{Code: tree.CodeBadUnit, Path: "service.alarm.kind.raise.path", Line: 3, Got: `"/a**/b"`, Allowed: `"/a/*/b" or "/a/**"`}},
		"same pattern":        {"service.alarm.kind.a.path = \"/a\"\nservice.alarm.kind.b.path = \"/a\"", tree.Problem{Code: tree.CodeContradiction, Path: "service.alarm.kind.b", Line: 4, Got: "matches the same requests as a", Allowed: "one kind for each method and path"}},
		"once and idempotent": {"[service.alarm]\nidempotent = true\nkind.raise.path = \"/\"\nkind.raise.once = true", tree.Problem{Code: tree.CodeContradiction, Path: "service.alarm.kind.raise", Line: 5, Got: "once and idempotent exclude each other"}},
		"duplicate":           {"attempts = 2\nattempts = 3", tree.Problem{Code: tree.CodeSyntax, Line: 4, Got: "toml: key attempts is already defined"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := tree.Parse(baseText + tt.text)
			var problems tree.Problems
			require.True(t, errors.As(err, &problems), "%v", err)
			require.Equal(t, tree.Problems{tt.want}, problems)
			require.Contains(t, err.Error(), tt.want.Got)
		})
	}
}

func TestGuardClassOfTrialComesFromAcceptedTree(t *testing.T) {
	accepted := tree.NewSnapshot(1, example(t, "rijksbureau"))
	demoted, err := accepted.Tree().Set("service.keuring.kind.signOff.path", "/elsewhere")
	require.NoError(t, err)
	proposal := tree.NewSnapshot(1, demoted).WithTrial("edit", accepted)
	policy := proposal.Policy("hal-a", "keuring", "POST", "/signoffs")
	require.Equal(t, call.ClassNormal, policy.Priority)
	require.Equal(t, call.ClassVital, proposal.GuardClass(policy, "hal-a", "POST", "/signoffs"))
	require.Equal(t, call.ClassNormal, accepted.GuardClass(policy, "hal-a", "POST", "/signoffs"))
}

func TestEffectiveReportsOrigins(t *testing.T) {
	parsed := example(t, "rijksbureau")
	origins := map[string]string{}
	for _, s := range parsed.Effective(tree.Path{Place: "hal-d", Service: "logboek", Kind: "export"}) {
		origins[s.Key] = s.Value.String() + " " + s.Origin()
	}
	require.Equal(t, `"5s" place.hal-d.service.logboek.kind.export`, origins["deadline"])
	require.Equal(t, `128 place.hal-d.service.logboek`, origins["queueLength"])
	require.Equal(t, `0.7 place.hal-d`, origins["spillAt"])
	require.Equal(t, `"bulk" service.logboek.kind.export`, origins["priority"])
	require.Equal(t, `64 root`, origins["attempts"])
	require.Equal(t, `"10m" default`, origins["answerMemory"])
}

// BenchmarkSnapshot parses and compiles a tree of 53 services with five kinds each in six data centres, one of which has
// settings of its own.
func BenchmarkSnapshot(b *testing.B) {
	var text strings.Builder
	fmt.Fprintf(&text, "places = [\"p0\", \"p1\", \"p2\", \"p3\", \"p4\", \"p5\"]\nservices = [\"s0\"")
	for i := 1; i < 53; i++ {
		fmt.Fprintf(&text, ", \"s%d\"", i)
	}
	text.WriteString("]\nplace.p0.spillAt = 0.7\n")
	for i := range 53 * 5 {
		fmt.Fprintf(&text, "[service.s%d.kind.k%d]\npath = \"/k%d/*\"\npriority = \"high\"\ndeadline = \"1s\"\n", i/5, i%5, i%5)
	}
	b.ReportAllocs()
	for b.Loop() {
		parsed, err := tree.Parse(text.String())
		require.NoError(b, err)
		_ = tree.NewSnapshot(1, parsed)
	}
	b.ReportMetric(float64(text.Len()), "bytes/text")
}

func BenchmarkPolicy(b *testing.B) {
	text, err := os.ReadFile("../../examples/rijksbureau/tree.toml")
	require.NoError(b, err)
	parsed, err := tree.Parse(string(text))
	require.NoError(b, err)
	snapshot := tree.NewSnapshot(1, parsed)
	b.ReportAllocs()
	for b.Loop() {
		_ = snapshot.Policy("hal-d", "logboek", "GET", "/cells/17/readings/2026")
	}
}
