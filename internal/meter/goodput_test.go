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
	g.Note(call.ClassVital, 201, nil)
	g.Note(call.ClassHigh, 404, nil)
	g.Note(call.ClassHigh, 502, nil)
	g.Note(call.ClassVital, 0, call.NewRefusal(call.OutcomeNotRun, call.ReasonOverload))
	g.Note(call.ClassVital, 0, call.NewRefusal(call.OutcomeNotRun, call.ReasonNeedsTicket))
	g.Note(call.ClassBulk, 0, call.NewRefusal(call.OutcomeNotRun, call.ReasonOverload))
	require.Equal(t, trial.Count{Offered: 4, Good: 2}, g.Count())
}
