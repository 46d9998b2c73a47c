package wire_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/fanout"
	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

var (
	exampleHop = wire.Hop{
		Route: "r;1", Service: "keuring", Caller: "logboek", Remaining: 1500 * time.Millisecond, Rank: 2, Once: true, Attempt: 3, Revision: 12, LevelEstimate: 0.25,
	}
	exampleReport = wire.Report{
		Outcome: call.OutcomeRan, Reason: call.ReasonOK, State: "serving", Running: 4, Waiting: 5, Slots: 6, Revision: 12, Origin: fanout.OriginServers,
		IntegralLevel: 0.5, Levels: []shed.Level{{Service: "alarm", Value: 0.75}}, NeedsKnown: true, Needs: []fanout.Need{{Service: "alarm", Calls: 8}},
	}
)

func hopText(t *testing.T) string {
	t.Helper()
	var header protocol.RequestHeader
	wire.SetHop(&header, exampleHop)

	return string(header.Peek(wire.HeaderHop))
}

func reportText(t *testing.T) string {
	t.Helper()
	var header protocol.ResponseHeader
	wire.SetReport(&header, exampleReport)

	return string(header.Peek(wire.HeaderReport))
}

func parseHop(text string) (wire.Hop, error) {
	var header protocol.RequestHeader
	header.Set(wire.HeaderHop, text)

	return wire.ParseHop(&header)
}

func parseReport(text string) (wire.Report, bool) {
	var header protocol.ResponseHeader
	header.Set(wire.HeaderReport, text)

	return wire.ParseReport(&header)
}

// A later release may add fields at the end.
func TestFurtherFieldsAreIgnored(t *testing.T) {
	for _, further := range []string{"", ";1", ";;a=2,b=3"} {
		hop, err := parseHop(hopText(t) + further)
		require.NoError(t, err)
		require.Equal(t, exampleHop, hop)
		report, found := parseReport(reportText(t) + further)
		require.True(t, found)
		require.Equal(t, exampleReport, report)
	}
}

func TestMalformedFieldsAreRefused(t *testing.T) {
	hop, report := hopText(t), reportText(t)
	for name, text := range map[string]string{
		"empty":       "",
		"few fields":  strings.Join(strings.Split(hop, ";")[:5], ";"),
		"no number":   strings.Replace(hop, "1500", "soon", 1),
		"not a level": strings.Replace(hop, "0.25", "NaN", 1),
		"infinite":    strings.Replace(hop, "0.25", "+Inf", 1),
	} {
		_, err := parseHop(text)
		require.ErrorIs(t, err, wire.ErrBadHop, name)
	}
	for name, text := range map[string]string{
		"empty":          "",
		"few fields":     strings.Join(strings.Split(report, ";")[:5], ";"),
		"no outcome":     strings.Replace(report, string(call.OutcomeRan), "perhaps", 1),
		"no number":      strings.Replace(report, ";4;", ";four;", 1),
		"not a level":    strings.Replace(report, "0.75", "NaN", 1),
		"infinite level": strings.Replace(report, "0.75", "Inf", 1),
		"infinite calls": strings.Replace(report, "8.00", "Inf", 1),
		"not an average": strings.Replace(report, "0.50", "nan", 1),
	} {
		_, found := parseReport(text)
		require.False(t, found, name)
	}
}
