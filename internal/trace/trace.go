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

// Name is the name of the service.
const Name = "trace"

// Step names the kind of decision.
type Step string

// Steps of a call at which decisions are made, and the decisions about fleet and settings.
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

// Decision is one line of the decision log.
type Decision struct {
	Time       time.Time     `json:"time"`
	Step       Step          `json:"step"`
	Op         call.ID       `json:"op,omitempty"`
	Root       call.Root     `json:"root,omitempty"`
	Service    string        `json:"service,omitempty"`
	Kind       string        `json:"kind,omitempty"`
	Attempt    int           `json:"attempt,omitempty"`
	Rank       call.Rank     `json:"rank,omitempty"`
	Chosen     string        `json:"chosen,omitempty"`
	Candidates []string      `json:"candidates,omitempty"`
	Outcome    call.Outcome  `json:"outcome,omitempty"`
	Reason     call.Reason   `json:"reason"`
	Detail     string        `json:"detail,omitempty"`
	Elapsed       time.Duration `json:"took,omitempty"`
	Revision   uint64        `json:"revision"`
}

// Message is the message of log lines that hold a decision.
const Message = "decision"

// Batches of lines are written this often, and earlier when the buffer is half full.
const batchInterval = 25 * time.Millisecond

// Log is the kernel service that writes and keeps decisions.
type Log struct {
	out     io.Writer
	node    string
	recent  *ring
	dropped atomic.Uint64
	cancel  context.CancelFunc
	once    sync.Once
	ended   chan struct{}
	early   chan struct{}

	mu      sync.Mutex
	most    int
	waiting []Decision
	spare   []Decision
	text    bytes.Buffer
	lines   *slog.Logger
}

// New returns a log for that node which holds up to that many lines until they are written, out nil to write none.
func New(out io.Writer, node string, buffer int) *Log {
	l := &Log{
		out:    out,
		node:   node,
		most:   buffer,
		recent: newRing(recentDecisions),
		ended:  make(chan struct{}),
		early:  make(chan struct{}, 1),
	}
	l.lines = slog.New(slog.NewJSONHandler(&l.text, nil))

	return l
}

// String returns the name of the service.
func (l *Log) String() string {
	return Name
}

// Start starts the writer.
func (l *Log) Start(_ context.Context, _ *kernel.Kernel) (<-chan error, error) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	done := make(chan error, 1)
	go l.run(ctx, done)

	return done, nil
}

// Stop writes what is waiting and ends the writer.
func (l *Log) Stop(ctx context.Context) error {
	l.once.Do(l.cancel)
	select {
	case <-l.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Record keeps a decision for explain and for the next batch of lines, or counts it as dropped if the buffer is full.
//
// Waking the writer for each line would cost a call more than all else it does here, so only a half-full buffer does.
func (l *Log) Record(decision Decision) {
	if decision.Time.IsZero() {
		decision.Time = time.Now()
	}
	l.recent.add(decision)
	if l.out == nil {
		return
	}
	if l.enqueue(decision) {
		select {
		case l.early <- struct{}{}:
		default:
		}
	}
}

// Dropped returns how many lines were not written because the buffer was full.
func (l *Log) Dropped() uint64 {
	return l.dropped.Load()
}

// Explain returns the kept decisions that carry the ID as operation or root, oldest first.
func (l *Log) Explain(id string) []Decision {
	return l.recent.find(id)
}

// enqueue reports whether the buffer has just become half full.
func (l *Log) enqueue(decision Decision) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= l.most {
		l.dropped.Add(1)

		return false
	}
	l.waiting = append(l.waiting, decision)

	return len(l.waiting) == (l.most+1)/2
}

func (l *Log) run(ctx context.Context, done chan<- error) {
	defer close(l.ended)
	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.write()
		case <-l.early:
			l.write()
		case <-ctx.Done():
			l.write()
			done <- nil

			return
		}
	}
}

// write formats all that waits and writes it at once.
func (l *Log) write() {
	l.mu.Lock()
	batch := l.waiting
	l.waiting = l.spare[:0]
	l.mu.Unlock()
	if len(batch) > 0 {
		l.text.Reset()
		for i := range batch {
			l.print(batch[i])
		}
		if _, err := l.out.Write(l.text.Bytes()); err != nil {
			l.dropped.Add(uint64(len(batch)))
		}
	}
	clear(batch)
	l.spare = batch
}

// print leaves out what the decision does not state, because formatting is most of the log's cost.
func (l *Log) print(d Decision) {
	line := make([]slog.Attr, 0, maxAttrs)
	line = append(line, slog.String("node", l.node), slog.Time("at", d.Time), slog.String("step", string(d.Step)))
	line = appendText(line, "op", string(d.Op))
	line = appendText(line, "root", string(d.Root))
	line = appendText(line, "service", d.Service)
	line = appendText(line, "kind", d.Kind)
	line = appendNumber(line, "attempt", d.Attempt)
	line = appendNumber(line, "rank", int(d.Rank))
	line = appendText(line, "chosen", d.Chosen)
	if len(d.Candidates) > 0 {
		line = append(line, slog.Any("candidates", d.Candidates))
	}
	line = appendText(line, "outcome", string(d.Outcome))
	line = appendText(line, "reason", string(d.Reason))
	line = appendText(line, "detail", d.Detail)
	if d.Elapsed > 0 {
		line = append(line, slog.Duration("took", d.Elapsed))
	}
	line = append(line, slog.Uint64("revision", d.Revision))
	l.lines.LogAttrs(context.Background(), slog.LevelInfo, Message, line...)
}

// maxAttrs is the number of attributes of a line that states everything.
const maxAttrs = 16

func appendText(line []slog.Attr, key, value string) []slog.Attr {
	if value == "" {
		return line
	}

	return append(line, slog.String(key, value))
}

func appendNumber(line []slog.Attr, key string, value int) []slog.Attr {
	if value == 0 {
		return line
	}

	return append(line, slog.Int(key, value))
}
