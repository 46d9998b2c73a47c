package meter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/meter"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

func TestGoodputCountsImportantRequests(t *testing.T) {
	var g meter.Goodput
	g.Record(call.ClassVital, 201, nil)
	g.Record(call.ClassHigh, 404, nil)
	g.Record(call.ClassHigh, 502, nil)
	g.Record(call.ClassVital, 0, call.NewRefusal(call.OutcomeNotRun, call.ReasonOverload))
	g.Record(call.ClassVital, 0, call.NewRefusal(call.OutcomeNotRun, call.ReasonNeedsTicket))
	g.Record(call.ClassBulk, 0, call.NewRefusal(call.OutcomeNotRun, call.ReasonOverload))
	require.Equal(t, trial.Count{Offered: 4, Good: 2}, g.Count())
}
