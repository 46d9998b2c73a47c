package spool_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/spool"
)

// output blocks every Write until open is closed.
type output struct {
	open chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func newOutput() *output {
	return &output{open: make(chan struct{})}
}

func (o *output) Write(p []byte) (int, error) {
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.text.Write(p)
}

func (o *output) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()

	return strings.Split(strings.TrimSpace(o.text.String()), "\n")
}

func TestLinesArriveInOrder(t *testing.T) {
	t.Parallel()
	const lines = 1000
	out := newOutput()
	close(out.open)
	writer, closeWriter := spool.New(out)
	for i := range lines {
		_, err := fmt.Fprintf(writer, "line %d\n", i)
		require.NoError(t, err)
	}
	closeWriter()
	require.Zero(t, writer.Dropped())
	got := out.lines()
	require.Len(t, got, lines)
	for i, line := range got {
		require.Equal(t, fmt.Sprintf("line %d", i), line)
	}
}

func TestWriterDoesNotWaitForAnOutputThatTakesNothing(t *testing.T) {
	t.Parallel()
	const lines = 10000
	line := strings.Repeat("x", 200) + "\n"
	out := newOutput()
	writer, closeWriter := spool.New(out)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range lines {
			_, _ = writer.Write([]byte(line))
		}
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		require.Fail(t, "a line waited for the output")
	}
	dropped := writer.Dropped()
	require.NotZero(t, dropped)
	close(out.open)
	closeWriter()
	whole, reported := 0, uint64(0)
	for _, got := range out.lines() {
		if got+"\n" == line {
			whole++

			continue
		}
		var report struct {
			Message string `json:"msg"`
			Lines   uint64 `json:"lines"`
		}
		require.NoError(t, json.Unmarshal([]byte(got), &report))
		require.Equal(t, "log lines dropped", report.Message)
		require.NotZero(t, report.Lines)
		reported += report.Lines
	}
	// lines may have been dropped both before and after the first batch was taken
	require.Equal(t, dropped, reported)
	require.EqualValues(t, lines, uint64(whole)+dropped)
}

func TestCloseDoesNotWaitForAnOutputThatTakesNothing(t *testing.T) {
	t.Parallel()
	out := newOutput()
	writer, closeWriter := spool.New(out)
	_, err := writer.Write([]byte("line\n"))
	require.NoError(t, err)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		closeWriter()
	}()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		require.Fail(t, "not closed")
	}
	close(out.open)
}
