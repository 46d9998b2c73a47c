package panics_test

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/panics"
)

func TestLoopThatPanicsIsRunAgain(t *testing.T) {
	var lines bytes.Buffer
	log := slog.New(slog.NewJSONHandler(&lines, nil))
	failure := errors.New("ended")
	runs := 0
	err := panics.Keep(t.Context(), log, "poll", func(context.Context) error {
		if runs++; runs < 3 {
			panic("unexpected row")
		}

		return failure
	})
	require.ErrorIs(t, err, failure)
	require.Equal(t, 3, runs)
	require.Equal(t, 2, bytes.Count(lines.Bytes(), []byte(`"work":"poll","cause":"unexpected row"`)))
}

func TestLoopThatPanicsEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	err := panics.Keep(ctx, slog.New(slog.DiscardHandler), "poll", func(context.Context) error {
		cancel()
		panic("unexpected row")
	})
	require.NoError(t, err)
}

func TestStepThatPanicsIsAnError(t *testing.T) {
	err := panics.Do(t.Context(), slog.New(slog.DiscardHandler), "call", func(context.Context) error { panic("unexpected reply") })
	require.ErrorContains(t, err, "call: unexpected reply")
}
