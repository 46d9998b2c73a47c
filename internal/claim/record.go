package claim

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/pistachiotack/pistachiotack/internal/exec"
	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/meter"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Name is the name of the service.
const Name = "claim"

const (
	answerPrefix = "answers/"
	// bucketWidth is the span of operations whose answers share a row.
	bucketWidth = 10 * time.Second
	// flushInterval is how often answers are written.
	flushInterval = 5 * time.Second
	flushTimeout  = 2 * time.Second
	// maxWaiting bounds the answers that wait to be written, maxRecorded the body of one in bytes.
	maxWaiting  = 2000
	maxRecorded = 16 << 10
)

// bucket is the value of a row of answers, by operation.
type bucket map[call.ID]exec.Response

// Recorder is the kernel service that writes the answers of this home to the table, off the call path.
type Recorder struct {
	node        string
	incarnation uint64
	table       Table

	mu      sync.Mutex
	waiting map[string]bucket
	count   int
	dropped int

	unrecorded tally.Gauge

	stop  context.CancelFunc
	ended chan error
}

// NewRecorder returns the recorder of a home.
func NewRecorder(node string, incarnation uint64) *Recorder {
	return &Recorder{node: node, incarnation: incarnation, waiting: map[string]bucket{}, ended: make(chan error, 1)}
}

// String returns the name of the service.
func (r *Recorder) String() string {
	return Name
}

// Start begins to write.
func (r *Recorder) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	metrics, err := kernel.Find[*meter.Meter](k, meter.Name)
	if err != nil {
		return nil, err
	}
	r.unrecorded = metrics.Scope().SubScope(Name).Gauge("dropped")
	if r.table, err = kernel.Find[Table](k, store.Name); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	done := make(chan error, 1)
	go r.run(ctx, done)

	return done, nil
}

// Stop writes what waits, as far as the table takes it.
func (r *Recorder) Stop(ctx context.Context) error {
	r.stop()
	select {
	case err := <-r.ended:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "write the last answers")
	}
}

// Record queues an answer; one too large, or too many, are not recorded.
func (r *Recorder) Record(op call.ID, answer exec.Response) {
	row, err := rowOf(Ticket{Op: op, Node: r.node, Incarnation: r.incarnation})
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count >= maxWaiting || len(answer.Body) > maxRecorded {
		r.dropped++

		return
	}
	if r.waiting[row] == nil {
		r.waiting[row] = bucket{}
	}
	r.waiting[row][op] = answer
	r.count++
}

// Dropped returns how many answers were not recorded.
func (r *Recorder) Dropped() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.dropped
}

func (r *Recorder) run(ctx context.Context, done chan<- error) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.flush(ctx)
		case <-ctx.Done():
			r.flush(context.WithoutCancel(ctx))
			r.ended <- nil
			done <- nil

			return
		}
	}
}

// flush writes each row that has news; what fails waits for the next time.
func (r *Recorder) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	r.mu.Lock()
	rows := r.waiting
	r.waiting, r.count = map[string]bucket{}, 0
	r.mu.Unlock()
	for row, news := range rows {
		if err := r.write(ctx, row, news); err != nil {
			r.putBack(row, news)
		}
	}
	r.unrecorded.Update(float64(r.Dropped()))
}

// write adds to the row, which only this process writes.
func (r *Recorder) write(ctx context.Context, row string, news bucket) error {
	all := bucket{}
	old, err := r.table.Get(ctx, row)
	switch {
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		return err
	default:
		if err := json.Unmarshal(old.Value, &all); err != nil {
			return errors.Wrap(err, "decode answers")
		}
	}
	for op, answer := range news {
		all[op] = answer
	}
	value, err := json.Marshal(all)
	if err != nil {
		return errors.Wrap(err, "encode answers")
	}
	_, err = r.table.Put(ctx, row, value, "")

	return err
}

func (r *Recorder) putBack(row string, news bucket) {
	for op, answer := range news {
		r.mu.Lock()
		if r.count >= maxWaiting {
			r.dropped++
			r.mu.Unlock()

			continue
		}
		if r.waiting[row] == nil {
			r.waiting[row] = bucket{}
		}
		r.waiting[row][op] = answer
		r.count++
		r.mu.Unlock()
	}
}

// LookupResponse returns the recorded answer of an operation whose home is gone, store.ErrNotFound if there is none.
func LookupResponse(ctx context.Context, table Table, ticket Ticket) (exec.Response, error) {
	key, err := rowOf(ticket)
	if err != nil {
		return exec.Response{}, err
	}
	row, err := table.Get(ctx, key)
	if err != nil {
		return exec.Response{}, errors.Wrap(err, "recall answer")
	}
	all := bucket{}
	if err := json.Unmarshal(row.Value, &all); err != nil {
		return exec.Response{}, errors.Wrap(err, "decode answers")
	}
	answer, found := all[ticket.Op]
	if !found {
		return exec.Response{}, errors.Wrap(store.ErrNotFound, "recall answer")
	}

	return answer, nil
}

// rowOf names the row in which the answer of an operation is looked for.
func rowOf(t Ticket) (string, error) {
	opened, err := t.Op.CreatedAt()
	if err != nil {
		return "", err
	}
	span := strconv.FormatInt(opened.UnixNano()/int64(bucketWidth), ticketBase)

	return answerPrefix + t.Node + "/" + strconv.FormatUint(t.Incarnation, ticketBase) + "/" + span, nil
}
