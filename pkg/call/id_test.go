package call_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

func TestIDContainsItsCreationTime(t *testing.T) {
	before := time.Now().Add(-time.Second)
	opened, err := call.NewID().CreatedAt()
	require.NoError(t, err)
	require.True(t, opened.After(before))
	require.True(t, opened.Before(before.Add(time.Minute)))
}

func TestIDWithoutTimeIsRefused(t *testing.T) {
	for _, id := range []call.ID{"", "op-1", "8f14e45f-ceea-467f-a1b2-9d6f0b3f6d5e"} {
		_, err := id.CreatedAt()
		require.ErrorIs(t, err, call.ErrBadID, string(id))
	}
}
