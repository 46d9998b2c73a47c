package holder

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// health is what an operator should know about this node's view of the store.
type health struct {
	// etag and seen are the table's head as it was last read.
	etag string
	seen Record
	// older is the store's head when that is not the one in force; sightings counts how often it was seen in a row.
	older     *Record
	sightings int
	awaySince time.Time
}

// poll looks at the table's head; it reports whether the table answered.
func (h *Holder) poll(ctx context.Context) bool {
	if h.rows == nil {
		return true
	}
	before := h.Record()
	h.mu.Lock()
	etag := h.health.etag
	h.mu.Unlock()
	head, etag, changed, err := h.rows.headChanged(ctx, etag)
	if err != nil {
		h.lost(ctx, err)

		return false
	}
	h.mu.Lock()
	h.health.etag = etag
	h.health.awaySince = time.Time{}
	if changed {
		h.health.seen = head
	}
	head = h.health.seen
	h.mu.Unlock()
	h.compare(ctx, head, etag, before)

	return true
}

func (h *Holder) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	first := h.health.awaySince.IsZero()
	if first {
		h.health.awaySince = time.Now()
	}
	h.mu.Unlock()
	if first {
		h.note(ctx, slog.LevelWarn, "tableAway", h.Record(), err.Error())
	}
}

// compare weighs the table's head against what this node held when it asked.
func (h *Holder) compare(ctx context.Context, head Record, etag string, before Record) {
	same := head.Revision == before.Revision && head.Edit == before.Edit
	if head.Revision > before.Revision || same {
		h.mu.Lock()
		h.health.older, h.health.sightings = nil, 0
		h.mu.Unlock()
		if !same {
			h.Adopt(ctx, head, "table")
		}

		return
	}
	h.mu.Lock()
	h.health.older = &head
	h.health.sightings++
	sightings := h.health.sightings
	h.mu.Unlock()
	if sightings == 1 {
		h.note(ctx, slog.LevelError, "storeOlder", head, fmt.Sprintf("table came back with revision %d, %d stays in force", head.Revision, before.Revision))

		return
	}
	h.mend(ctx, head, etag, before)
}

// mend writes the accepted revision back into a table that was restored to an ancestor of it.
func (h *Holder) mend(ctx context.Context, head Record, etag string, before Record) {
	if !before.DescendsFrom(head) {
		h.note(ctx, slog.LevelError, "fork", head, "table holds a revision that does not lead to the one in force; apply the wanted tree anew")

		return
	}
	if err := h.rows.writeHead(ctx, before, etag); err != nil {
		if !errors.Is(err, store.ErrConflict) {
			h.note(ctx, slog.LevelWarn, "mendFailed", before, err.Error())
		}

		return
	}
	h.note(ctx, slog.LevelWarn, "mended", before, "wrote the accepted revision back into the older table")
}

// exchange compares revisions with one random peer; it reports whether one answered.
func (h *Holder) exchange(ctx context.Context) bool {
	others := h.others()
	if len(others) == 0 {
		return false
	}

	return h.exchangeWith(ctx, others[rand.IntN(len(others))].Control) == nil
}

// exchangeWith brings both sides to the higher revision.
func (h *Holder) exchangeWith(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record := h.Record()
	var reply ExchangeReply
	if err := h.control.Call(ctx, address, methodExchange, ExchangeArgs{Revision: record.Revision}, &reply); err != nil {
		return err
	}
	switch {
	case reply.Revision > record.Revision:
		h.Adopt(ctx, reply.Record, "peer "+address)
	case reply.Revision < record.Revision:
		return h.control.Call(ctx, address, methodPush, record, &struct{}{})
	}

	return nil
}

// spreadLoop passes each newly adopted revision on to a few random peers.
func (h *Holder) spreadLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.spread:
		}
		others := h.others()
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		var calls errgroup.Group
		for _, peer := range others[:min(fanOut, len(others))] {
			calls.Go(func() error {
				_ = h.exchangeWith(ctx, peer.Control)

				return nil
			})
		}
		_ = calls.Wait()
	}
}

// others returns the peers that can be called.
func (h *Holder) others() []member.Entry {
	var others []member.Entry
	for _, entry := range h.fleet.All() {
		if entry.ID != h.options.Node && callable(entry) {
			others = append(others, entry)
		}
	}

	return others
}

func callable(entry member.Entry) bool {
	return entry.Control != "" && entry.State != member.StateDead && entry.State != member.StateLeft
}
