package crash

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/internal/waits"
	"github.com/pistachiotack/pistachiotack/pkg/fatal"
)

const (
	// rowPrefix is the prefix of the row keys; there is one row per service and request.
	rowPrefix = "fatal/"
	// retryInterval is the time between tries to load or to save rows.
	retryInterval = time.Second
	// rowLifetime is the age at which a row no longer counts. It is far longer than the quarantine, since clocks may be set by minutes: what
	// is read counts from then on.
	rowLifetime = 24 * time.Hour
)

// Table is the key-value table of the platform.
type Table interface {
	Put(ctx context.Context, key string, value []byte, etag string) (string, error)
	Delete(ctx context.Context, key, etag string) error
	List(ctx context.Context, prefix, after string) ([]store.Row, error)
	// Era returns the number of times that the table has lost acknowledged rows, and a channel that is closed when it happens again.
	Era() (number uint64, changed <-chan struct{})
}

// row is the stored form of a request that crashes backend servers.
type row struct {
	Processes []string  `json:"processes"`
	CrashedAt time.Time `json:"at"`
}

// rows keeps the requests that this node has found to crash backend servers. It is safe for concurrent use.
type rows struct {
	table  Table
	prefix string
	log    *slog.Logger
	// changed receives a value when there is something to save.
	changed chan struct{}

	mu sync.Mutex
	// kept holds the rows that this node has written or has to write, unsaved those still to be written, dropped those to be removed.
	kept    map[fatal.ID]row
	unsaved map[fatal.ID]bool
	dropped map[fatal.ID]bool
}

func newRows(table Table, service string, log *slog.Logger) *rows {
	return &rows{
		table: table, prefix: rowPrefix + service + "/", log: log, changed: make(chan struct{}, 1),
		kept: map[fatal.ID]row{}, unsaved: map[fatal.ID]bool{}, dropped: map[fatal.ID]bool{},
	}
}

// keep writes the row of a request.
func (r *rows) keep(entry fatal.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept[entry.ID] = row{Processes: entry.Processes, CrashedAt: time.Now().Add(-entry.Age)}
	r.unsaved[entry.ID] = true
	delete(r.dropped, entry.ID)
	r.notify()
}

// drop removes the rows of requests, if this node has written them.
func (r *rows) drop(ids []fatal.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if _, found := r.kept[id]; found {
			delete(r.kept, id)
			delete(r.unsaved, id)
			r.dropped[id] = true
			r.notify()
		}
	}
}

func (r *rows) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// run loads the rows of the service and passes them on, then writes and removes rows until the context ends.
func (r *rows) run(ctx context.Context, merge func(entries []fatal.Entry)) {
	_, lost := r.table.Era()
	loaded := false
	for ctx.Err() == nil {
		if !loaded {
			loaded = r.load(ctx, merge)
		}
		wait := time.Duration(-1)
		if saved := r.save(ctx); !saved || !loaded {
			wait = retryInterval
		}
		select {
		case <-ctx.Done():
		case <-r.changed:
		case <-after(wait):
		case <-lost:
			_, lost = r.table.Era()
			waits.Sleep(ctx, rand.N(retryInterval))
			r.markUnsaved()
		}
	}
}

// after returns a channel that receives a value after the time, never if it is negative.
func after(wait time.Duration) <-chan time.Time {
	if wait < 0 {
		return nil
	}

	return time.After(wait)
}

// markUnsaved has all rows written again, after the table has lost acknowledged ones.
func (r *rows) markUnsaved() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.kept {
		r.unsaved[id] = true
	}
}

// load reads the rows of the service, and reports whether it could. Rows that no longer count are removed.
func (r *rows) load(ctx context.Context, merge func(entries []fatal.Entry)) bool {
	var entries []fatal.Entry
	for last, more := "", true; more; {
		found, err := r.table.List(ctx, r.prefix, last)
		if err != nil {
			r.log.LogAttrs(ctx, slog.LevelInfo, "requests that crash backend servers not loaded", slog.String("error", err.Error()))

			return false
		}
		for _, one := range found {
			entry, current, err := decode(one.Key[len(r.prefix):], one.Value)
			if err != nil {
				r.log.LogAttrs(ctx, slog.LevelWarn, "row ignored", slog.String("key", one.Key), slog.String("error", err.Error()))

				continue
			}
			if current {
				entries = append(entries, entry)
			} else if err := r.table.Delete(ctx, one.Key, one.ETag); err != nil {
				r.log.LogAttrs(ctx, slog.LevelInfo, "row not removed", slog.String("key", one.Key), slog.String("error", err.Error()))
			}
		}
		if more = len(found) > 0; more {
			last = found[len(found)-1].Key
		}
	}
	merge(entries)

	return true
}

// decode returns the entry of a row, and whether it counts.
func decode(key string, value []byte) (entry fatal.Entry, current bool, err error) {
	id, err := fatal.ParseID(key)
	if err != nil {
		return fatal.Entry{}, false, err
	}
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return fatal.Entry{}, false, errors.Wrapf(err, "decode row %s", key)
	}

	return fatal.Entry{ID: id, Processes: r.Processes}, time.Since(r.CrashedAt) < rowLifetime, nil
}

// save writes and removes what has changed, and reports whether all of it is done.
func (r *rows) save(ctx context.Context) bool {
	r.mu.Lock()
	writes, removals := map[fatal.ID]row{}, make([]fatal.ID, 0, len(r.dropped))
	for id := range r.unsaved {
		writes[id] = r.kept[id]
	}
	for id := range r.dropped {
		removals = append(removals, id)
	}
	r.mu.Unlock()
	done := true
	for id, one := range writes {
		text, err := json.Marshal(one)
		if err == nil {
			_, err = r.table.Put(ctx, r.prefix+id.String(), text, "")
		}
		done = r.finish(ctx, r.unsaved, id, err) && done
	}
	for _, id := range removals {
		done = r.finish(ctx, r.dropped, id, r.table.Delete(ctx, r.prefix+id.String(), "")) && done
	}

	return done
}

// finish removes a request from those that are still to be written or removed, unless that failed.
func (r *rows) finish(ctx context.Context, pending map[fatal.ID]bool, id fatal.ID, err error) bool {
	if err != nil {
		r.log.LogAttrs(ctx, slog.LevelInfo, "row not kept", slog.String("request", id.String()), slog.String("error", err.Error()))

		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(pending, id)

	return true
}
