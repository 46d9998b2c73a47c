package spool

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPending is the number of bytes that may wait for the reader of the log.
	maxPending = 256 << 10
	// flushTimeout bounds the wait for the reader when the writer is closed.
	flushTimeout = 200 * time.Millisecond
)

// Writer passes what is written on to an output in the background. It is safe for concurrent use.
type Writer struct {
	output  io.Writer
	dropped atomic.Uint64
	// wake receives a value when there are bytes to write.
	wake chan struct{}

	mu      sync.Mutex
	pending []byte
	// spare is the buffer written last, whose memory is reused.
	spare []byte
	// unreported is the number of dropped lines that the output has not been told of.
	unreported uint64
}

// New returns a writer, and a function that writes what is pending, for a short time at most, and ends it.
func New(output io.Writer) (*Writer, func()) {
	w := &Writer{output: output, wake: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go w.run(ctx, ended)

	return w, func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(flushTimeout):
		}
	}
}

// Write buffers one or several whole lines, or drops them if there is no room. It never blocks and never fails.
func (w *Writer) Write(lines []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(lines) > maxPending {
		w.unreported += w.countDropped(lines)

		return len(lines), nil
	}
	w.pending = append(w.pending, lines...)
	select {
	case w.wake <- struct{}{}:
	default:
	}

	return len(lines), nil
}

// Dropped returns how many lines were dropped, or failed at the output.
func (w *Writer) Dropped() uint64 {
	return w.dropped.Load()
}

func (w *Writer) countDropped(lines []byte) uint64 {
	count := uint64(bytes.Count(lines, []byte{'\n'}))
	w.dropped.Add(count)

	return count
}

// run writes what is pending until the context ends, and once more then.
func (w *Writer) run(ctx context.Context, ended chan<- struct{}) {
	defer close(ended)
	for {
		select {
		case <-w.wake:
			w.flush()
		case <-ctx.Done():
			w.flush()

			return
		}
	}
}

// flush passes on what is pending, and then reports what was dropped before.
func (w *Writer) flush() {
	w.mu.Lock()
	batch, unreported := w.pending, w.unreported
	w.pending, w.unreported = w.spare[:0], 0
	w.mu.Unlock()
	if len(batch) > 0 {
		if written, err := w.output.Write(batch); err != nil {
			w.countDropped(batch[written:])
		}
	}
	if unreported > 0 {
		slog.New(slog.NewJSONHandler(w.output, nil)).Warn("log lines dropped", slog.Uint64("lines", unreported))
	}
	w.mu.Lock()
	w.spare = batch
	w.mu.Unlock()
}
