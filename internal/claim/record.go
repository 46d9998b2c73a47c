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

// Name is the name of the kernel service.
const Name = "claim"

const (
	responsePrefix = "answers/"
	// rowSpan is the range of creation times of the operations whose responses share a row.
	rowSpan = 10 * time.Second
	// flushInterval is the interval between writes of the pending responses.
	flushInterval = 5 * time.Second
	flushTimeout  = 2 * time.Second
	// maxPending bounds the number of responses that wait to be written, maxBodyBytes the body size of each.
	maxPending   = 2000
	maxBodyBytes = 16 << 10
)

// responses is the value of a table row, by operation.
type responses map[call.ID]exec.Response

// Recorder is the kernel service that writes the responses of the once operations of this node to the table. It writes in the
// background, so that calls do not wait for the table.
type Recorder struct {
	node        string
	incarnation uint64
	table       Table

	mu           sync.Mutex
	pending      map[string]responses
	pendingCount int
	dropped      int

	droppedGauge tally.Gauge

	stop    context.CancelFunc
	flushed chan error
}

// NewRecorder returns the recorder of a node incarnation.
func NewRecorder(node string, incarnation uint64) *Recorder {
	return &Recorder{node: node, incarnation: incarnation, pending: map[string]responses{}, flushed: make(chan error, 1)}
}

// String returns the name of the service.
func (r *Recorder) String() string {
	return Name
}

// Start starts the periodic writes.
func (r *Recorder) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	metrics, err := kernel.Find[*meter.Meter](k, meter.Name)
	if err != nil {
		return nil, err
	}
	r.droppedGauge = metrics.Scope().SubScope(Name).Gauge("dropped")
	if r.table, err = kernel.Find[Table](k, store.Name); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	done := make(chan error, 1)
	go r.run(ctx, done)

	return done, nil
}

// Stop writes the pending responses and waits for that until the context ends.
func (r *Recorder) Stop(ctx context.Context) error {
	r.stop()
	select {
	case err := <-r.flushed:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "write pending responses")
	}
}

// Record queues a response for writing. A response that is too large, or for which the queue has no room, is dropped.
func (r *Recorder) Record(op call.ID, response exec.Response) {
	row, err := responseRowKey(Ticket{Op: op, Node: r.node, Incarnation: r.incarnation})
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingCount >= maxPending || len(response.Body) > maxBodyBytes {
		r.dropped++

		return
	}
	if r.pending[row] == nil {
		r.pending[row] = responses{}
	}
	r.pending[row][op] = response
	r.pendingCount++
}

// Dropped returns the number of responses that were not recorded.
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
			r.flushed <- nil
			done <- nil

			return
		}
	}
}

// flush writes the pending responses and queues those of failed writes again.
func (r *Recorder) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	r.mu.Lock()
	rows := r.pending
	r.pending, r.pendingCount = map[string]responses{}, 0
	r.mu.Unlock()
	for row, added := range rows {
		if err := r.write(ctx, row, added); err != nil {
			r.requeue(row, added)
		}
	}
	r.droppedGauge.Update(float64(r.Dropped()))
}

// write merges the responses into a row. There is no conflict, because the row key contains the node incarnation.
func (r *Recorder) write(ctx context.Context, row string, added responses) error {
	merged := responses{}
	existing, err := r.table.Get(ctx, row)
	switch {
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		return err
	default:
		if err := json.Unmarshal(existing.Value, &merged); err != nil {
			return errors.Wrap(err, "decode responses")
		}
	}
	for op, response := range added {
		merged[op] = response
	}
	value, err := json.Marshal(merged)
	if err != nil {
		return errors.Wrap(err, "encode responses")
	}
	_, err = r.table.Put(ctx, row, value, "")

	return err
}

// requeue queues responses again after a failed write, and drops those for which the queue has no room.
func (r *Recorder) requeue(row string, added responses) {
	for op, response := range added {
		r.mu.Lock()
		if r.pendingCount >= maxPending {
			r.dropped++
			r.mu.Unlock()

			continue
		}
		if r.pending[row] == nil {
			r.pending[row] = responses{}
		}
		r.pending[row][op] = response
		r.pendingCount++
		r.mu.Unlock()
	}
}

// LookupResponse returns the recorded response of an operation whose home is gone, store.ErrNotFound if there is none.
func LookupResponse(ctx context.Context, table Table, ticket Ticket) (exec.Response, error) {
	key, err := responseRowKey(ticket)
	if err != nil {
		return exec.Response{}, err
	}
	row, err := table.Get(ctx, key)
	if err != nil {
		return exec.Response{}, errors.Wrap(err, "look up response")
	}
	recorded := responses{}
	if err := json.Unmarshal(row.Value, &recorded); err != nil {
		return exec.Response{}, errors.Wrap(err, "decode responses")
	}
	response, found := recorded[ticket.Op]
	if !found {
		return exec.Response{}, errors.Wrap(store.ErrNotFound, "look up response")
	}

	return response, nil
}

// responseRowKey returns the key of the row that holds the response of an operation.
func responseRowKey(ticket Ticket) (string, error) {
	createdAt, err := ticket.Op.CreatedAt()
	if err != nil {
		return "", err
	}
	span := strconv.FormatInt(createdAt.UnixNano()/int64(rowSpan), ticketBase)

	return responsePrefix + ticket.Node + "/" + strconv.FormatUint(ticket.Incarnation, ticketBase) + "/" + span, nil
}
