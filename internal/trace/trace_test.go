package trace_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// blockedWriter blocks every Write until the channel open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.text.Write(p)
}

func TestRecordNeverBlocksAndCountsDroppedLines(t *testing.T) {
	const buffer, decisions = 8, 100
	file := &blockedWriter{open: make(chan struct{})}
	log := trace.New(file, "node-a", buffer)
	_, err := log.Start(t.Context(), nil)
	require.NoError(t, err)
	for i := range decisions {
		log.Record(trace.Decision{Step: trace.StepRoute, Op: call.ID(fmt.Sprint(i)), Reason: call.ReasonOK})
	}
	require.GreaterOrEqual(t, log.Dropped(), uint64(decisions-2*buffer), "one buffer is being written while the other fills")
	close(file.open)
	require.NoError(t, log.Stop(t.Context()))
	lines := strings.Split(strings.TrimSpace(file.text.String()), "\n")
	require.EqualValues(t, decisions, uint64(len(lines))+log.Dropped())
	for _, line := range lines {
		var decoded map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &decoded))
		require.Equal(t, "route", decoded["step"])
	}
}

func TestExplainFindsByOperationAndRootOldestFirst(t *testing.T) {
	log := trace.New(nil, "node-a", 1)
	const kept = 2048
	for i := range kept + 10 {
		log.Record(trace.Decision{Step: trace.StepRoute, Op: call.ID(fmt.Sprint("op", i)), Root: "root", Attempt: i})
	}
	require.Empty(t, log.Explain("op3"), "the oldest decisions are overwritten")
	require.Len(t, log.Explain("op20"), 1)
	all := log.Explain("root")
	require.Len(t, all, kept)
	for i := 1; i < len(all); i++ {
		require.Less(t, all[i-1].Attempt, all[i].Attempt)
	}
}
