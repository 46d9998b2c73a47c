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

func (l *Log) print(d Decision) {
	l.log.LogAttrs(context.Background(), slog.LevelInfo, "decision",
		slog.String("node", l.node),
		slog.Time("at", d.Time),
		slog.String("step", string(d.Step)),
		slog.String("op", string(d.Op)),
		slog.String("root", string(d.Root)),
		slog.String("service", d.Service),
		slog.String("kind", d.Kind),
		slog.Int("attempt", d.Attempt),
		slog.Int("rank", int(d.Rank)),
		slog.String("chosen", d.Chosen),
		slog.Any("candidates", d.Candidates),
		slog.String("outcome", string(d.Outcome)),
		slog.String("reason", string(d.Reason)),
		slog.String("detail", d.Detail),
		slog.Duration("took", d.Took),
		slog.Uint64("revision", d.Revision),
	)
}
