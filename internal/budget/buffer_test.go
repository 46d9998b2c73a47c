package budget_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/budget"
)

func TestBufferTakesMemoryAsBytesArriveAndWithinItsBudget(t *testing.T) {
	shared := budget.New(64 << 10)
	first := budget.NewBuffer(shared, nil, 1<<20)
	require.ErrorIs(t, first.ReadFull(bytes.NewReader(make([]byte, 10)), 1<<20), io.ErrUnexpectedEOF)
	require.Equal(t, 10, first.Len())
	require.Less(t, first.Reserved(), 8<<10)
	require.ErrorIs(t, first.ReadFull(bytes.NewReader(make([]byte, 1<<20)), 1<<19), budget.ErrFull)
	shared.Release(first.Reserved())

	second := budget.NewBuffer(shared, nil, 60<<10)
	require.NoError(t, second.ReadFull(bytes.NewReader(make([]byte, 60<<10)), 60<<10))
	require.Equal(t, 60<<10, second.Reserved(), "no more than the largest size is taken")
}

func TestBufferOfManySmallReadsGrowsByDoubling(t *testing.T) {
	reader := bytes.NewReader(make([]byte, 1<<20))
	buffer := budget.NewBuffer(nil, nil, 1<<20)
	allocations := testing.AllocsPerRun(1, func() {
		for range 1 << 10 {
			_ = buffer.ReadFull(reader, 1)
		}
	})
	require.Less(t, allocations, 20.0)
}
