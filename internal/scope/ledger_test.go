package scope_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/scope"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/credit"
)

func TestReserveWaitsForCreditsHeldByASibling(t *testing.T) {
	ledger := scope.NewLedger(credit.Grant{Attempts: 4, Retries: 1}, 0, 27)
	first := ledger.Reserve(t.Context(), credit.Request{Need: credit.UnknownNeed})
	require.True(t, first.OK())

	second := make(chan credit.Reservation, 1)
	go func() { second <- ledger.Reserve(t.Context(), credit.Request{Need: credit.UnknownNeed}) }()
	ledger.Return(first.Number, first.Grant)
	require.True(t, (<-second).OK())
}

func TestReserveStopsWaitingWhenItsContextEnds(t *testing.T) {
	ledger := scope.NewLedger(credit.Grant{Attempts: 1}, 0, 27)
	require.True(t, ledger.Reserve(t.Context(), credit.Request{}).OK())

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, call.ReasonNoCredits, ledger.Reserve(ctx, credit.Request{}).Reason)
}
