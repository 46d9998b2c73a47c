package trace

import (
	"context"
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
	Took       time.Duration `json:"took,omitempty"`
	Revision   uint64        `json:"revision"`
}

// Log is the kernel service that writes and keeps decisions.
type Log struct {
	log     *slog.Logger
	node    string
	write   bool
	queue   chan Decision
	dropped atomic.Uint64
	recent  *ring
	cancel  context.CancelFunc
	once    sync.Once
	ended   chan struct{}
}

// New returns a log for that node with a buffer of that many lines, and writes lines only if asked to.
func New(log *slog.Logger, node string, buffer int, write bool) *Log {
	return &Log{
		log:    log,
		node:   node,
		write:  write,
		queue:  make(chan Decision, buffer),
		recent: newRing(recentDecisions),
		ended:  make(chan struct{}),
	}
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

// Stop writes what is queued and ends the writer.
func (l *Log) Stop(ctx context.Context) error {
	l.once.Do(l.cancel)
	select {
	case <-l.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Decide queues a decision, or counts it as dropped if the queue is full.
func (l *Log) Decide(decision Decision) {
	if decision.Time.IsZero() {
		decision.Time = time.Now()
	}
	l.recent.add(decision)
	if !l.write {
		return
	}
	select {
	case l.queue <- decision:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns how many lines were not written because the queue was full.
func (l *Log) Dropped() uint64 {
	return l.dropped.Load()
}

// Explain returns the kept decisions that carry the ID as operation or root, oldest first.
func (l *Log) Explain(id string) []Decision {
	return l.recent.find(id)
}

func (l *Log) run(ctx context.Context, done chan<- error) {
	defer close(l.ended)
	for {
		select {
		case decision := <-l.queue:
			l.print(decision)
		case <-ctx.Done():
			l.flush()
			done <- nil

			return
		}
	}
}

func (l *Log) flush() {
	for {
		select {
		case decision := <-l.queue:
			l.print(decision)
		default:
			return
		}
	}
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
	if d.Took > 0 {
		line = append(line, slog.Duration("took", d.Took))
	}
	line = append(line, slog.Uint64("revision", d.Revision))
	l.log.LogAttrs(context.Background(), slog.LevelInfo, "decision", line...)
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
