package trace

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Name is the name of the kernel service.
const Name = "trace"

// Step is the step in the handling of a call, or the other event, that a decision is about.
type Step string

// Steps of a call, followed by changes of concurrency limits, ejected targets, fleet members and settings.
const (
	StepRoute    Step = "route"
	StepAdmit    Step = "admit"
	StepAttempt  Step = "attempt"
	StepRetry    Step = "retry"
	StepRefuse   Step = "refuse"
	StepResolve  Step = "resolve"
	StepLimit    Step = "limit"
	StepEject    Step = "eject"
	StepMember   Step = "member"
	StepSettings Step = "settings"
)

// Decision is one entry of the decision log. Its operation is one call to a service; its root request is the request of a client
// that caused the call. Fields that do not apply to the step are zero.
type Decision struct {
	// Time is set by Record if it is zero.
	Time    time.Time `json:"time"`
	Step    Step      `json:"step"`
	Op      call.ID   `json:"op,omitempty"`
	Root    call.Root `json:"root,omitempty"`
	Service string    `json:"service,omitempty"`
	Kind    string    `json:"kind,omitempty"`
	Attempt int       `json:"attempt,omitempty"`
	Rank    call.Rank `json:"rank,omitempty"`
	// Chosen is the ID of the chosen target, or of the edit for StepSettings.
	Chosen     string       `json:"chosen,omitempty"`
	Candidates []string     `json:"candidates,omitempty"`
	Outcome    call.Outcome `json:"outcome,omitempty"`
	Reason     call.Reason  `json:"reason"`
	Detail     string       `json:"detail,omitempty"`
	// Elapsed is the time since the handling of the call started. For StepLimit it is the mean latency of recent calls.
	Elapsed  time.Duration `json:"took,omitempty"`
	Revision uint64        `json:"revision"`
}

// Message is the log message of lines that contain a decision.
const Message = "decision"

// flushInterval is the interval between writes. A buffer that becomes half full is written earlier.
const flushInterval = 25 * time.Millisecond

// Log is the kernel service that writes decisions to the decision log and keeps the latest ones in memory.
type Log struct {
	output   io.Writer
	node     string
	recent   *ring
	dropped  atomic.Uint64
	cancel   context.CancelFunc
	stopOnce sync.Once
	stopped  chan struct{}
	// wake triggers a write before the next tick.
	wake chan struct{}

	mu         sync.Mutex
	maxPending int
	pending    []Decision
	// spare is the batch written last. The next flush reuses its memory for pending.
	spare []Decision
	// encoded receives the lines of encoder. Only flush uses both.
	encoded bytes.Buffer
	encoder *slog.Logger
}

// New returns the decision log of a node. It buffers up to the given number of decisions; with a nil output it writes none.
func New(output io.Writer, node string, buffer int) *Log {
	l := &Log{
		output:     output,
		node:       node,
		maxPending: buffer,
		recent:     newRing(maxRecentDecisions),
		stopped:    make(chan struct{}),
		wake:       make(chan struct{}, 1),
	}
	l.encoder = slog.New(slog.NewJSONHandler(&l.encoded, nil))

	return l
}

// String returns Name.
func (l *Log) String() string {
	return Name
}

// Start starts the goroutine that writes the lines.
func (l *Log) Start(_ context.Context, _ *kernel.Kernel) (<-chan error, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	done := make(chan error, 1)
	go l.run(ctx, done)

	return done, nil
}

// Stop writes the buffered decisions and stops the writing goroutine. It returns the error of ctx if ctx ends before that.
func (l *Log) Stop(ctx context.Context) error {
	l.stopOnce.Do(l.cancel)
	select {
	case <-l.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Record keeps a decision in memory and buffers it for the next write. If the buffer is full, it counts the decision as dropped.
//
// It wakes the writing goroutine only when the buffer becomes half full, because waking it for each decision would cost more than
// the rest of Record.
func (l *Log) Record(decision Decision) {
	if decision.Time.IsZero() {
		decision.Time = time.Now()
	}
	l.recent.add(decision)
	if l.output == nil {
		return
	}
	if l.enqueue(decision) {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// Dropped returns the number of decisions that were not written because the buffer was full or the write failed.
func (l *Log) Dropped() uint64 {
	return l.dropped.Load()
}

// LinesDropped returns the number of lines of any kind that the output has dropped, zero if it does not count them.
func (l *Log) LinesDropped() uint64 {
	if output, counts := l.output.(interface{ Dropped() uint64 }); counts {
		return output.Dropped()
	}

	return 0
}

// Explain returns the decisions in memory whose operation or root request has the ID, oldest first.
func (l *Log) Explain(id string) []Decision {
	return l.recent.find(id)
}

// enqueue buffers a decision or counts it as dropped, and reports whether the buffer has just become half full.
func (l *Log) enqueue(decision Decision) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) >= l.maxPending {
		l.dropped.Add(1)

		return false
	}
	l.pending = append(l.pending, decision)

	return len(l.pending) == (l.maxPending+1)/2
}

func (l *Log) run(ctx context.Context, done chan<- error) {
	defer close(l.stopped)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.flush()
		case <-l.wake:
			l.flush()
		case <-ctx.Done():
			l.flush()
			done <- nil

			return
		}
	}
}

// flush encodes all buffered decisions and writes them with one Write.
func (l *Log) flush() {
	l.mu.Lock()
	batch := l.pending
	l.pending = l.spare[:0]
	l.mu.Unlock()
	if len(batch) > 0 {
		l.encoded.Reset()
		for i := range batch {
			l.encode(batch[i])
		}
		if _, err := l.output.Write(l.encoded.Bytes()); err != nil {
			l.dropped.Add(uint64(len(batch)))
		}
	}
	clear(batch)
	l.spare = batch
}

// encode appends a decision to the encoded lines. It omits zero fields, because formatting is most of the cost of the log.
func (l *Log) encode(d Decision) {
	attrs := make([]slog.Attr, 0, maxAttrs)
	attrs = append(attrs, slog.String("node", l.node), slog.Time("at", d.Time), slog.String("step", string(d.Step)))
	attrs = appendString(attrs, "op", string(d.Op))
	attrs = appendString(attrs, "root", string(d.Root))
	attrs = appendString(attrs, "service", d.Service)
	attrs = appendString(attrs, "kind", d.Kind)
	attrs = appendInt(attrs, "attempt", d.Attempt)
	attrs = appendInt(attrs, "rank", int(d.Rank))
	attrs = appendString(attrs, "chosen", d.Chosen)
	if len(d.Candidates) > 0 {
		attrs = append(attrs, slog.Any("candidates", d.Candidates))
	}
	attrs = appendString(attrs, "outcome", string(d.Outcome))
	attrs = appendString(attrs, "reason", string(d.Reason))
	attrs = appendString(attrs, "detail", d.Detail)
	if d.Elapsed > 0 {
		attrs = append(attrs, slog.Duration("took", d.Elapsed))
	}
	attrs = append(attrs, slog.Uint64("revision", d.Revision))
	l.encoder.LogAttrs(context.Background(), slog.LevelInfo, Message, attrs...)
}

// maxAttrs is the number of attributes of a line on which no field is omitted.
const maxAttrs = 16

func appendString(line []slog.Attr, key, value string) []slog.Attr {
	if value == "" {
		return line
	}

	return append(line, slog.String(key, value))
}

func appendInt(line []slog.Attr, key string, value int) []slog.Attr {
	if value == 0 {
		return line
	}

	return append(line, slog.Int(key, value))
}
