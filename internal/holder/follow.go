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

// tableView records what this node last read from the table, and whether the table is unavailable or outdated.
type tableView struct {
	// head is the revision last read from the head row, etag the row's ETag.
	etag string
	head Record
	// staleHead is the head if it is older than the accepted revision or a fork of it, nil otherwise; staleReads is the number
	// of consecutive polls that found such a head.
	staleHead  *Record
	staleReads int
	// unavailableSince is the time of the first failed read, zero while the table responds.
	unavailableSince time.Time
}

// pollTable reads the head row and compares it with the accepted revision. It reports whether the table responded.
func (h *Holder) pollTable(ctx context.Context) bool {
	if h.rows == nil {
		return true
	}
	accepted := h.Record()
	h.mu.Lock()
	etag := h.tableView.etag
	h.mu.Unlock()
	head, etag, changed, err := h.rows.headIfChanged(ctx, etag)
	if err != nil {
		h.recordTableError(ctx, err)

		return false
	}
	h.mu.Lock()
	h.tableView.etag = etag
	h.tableView.unavailableSince = time.Time{}
	if changed {
		h.tableView.head = head
	}
	head = h.tableView.head
	h.mu.Unlock()
	h.reconcile(ctx, head, etag, accepted)

	return true
}

// recordTableError marks the table as unavailable, and logs the first error of an outage.
func (h *Holder) recordTableError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	first := h.tableView.unavailableSince.IsZero()
	if first {
		h.tableView.unavailableSince = time.Now()
	}
	h.mu.Unlock()
	if first {
		h.logDecision(ctx, slog.LevelWarn, "tableAway", h.Record(), err.Error())
	}
}

// reconcile adopts the head if it is newer than the revision that the node held before the read. It logs the first read of an
// older or conflicting head, and tries to repair the table from the second consecutive one on.
func (h *Holder) reconcile(ctx context.Context, head Record, etag string, accepted Record) {
	same := head.Revision == accepted.Revision && head.Edit == accepted.Edit
	if head.Revision > accepted.Revision || same {
		h.mu.Lock()
		h.tableView.staleHead, h.tableView.staleReads = nil, 0
		h.mu.Unlock()
		if !same {
			h.Adopt(ctx, head, "table")
		}

		return
	}
	h.mu.Lock()
	h.tableView.staleHead = &head
	h.tableView.staleReads++
	staleReads := h.tableView.staleReads
	h.mu.Unlock()
	if staleReads == 1 {
		h.logDecision(ctx, slog.LevelError, "storeOlder", head, fmt.Sprintf("table returned revision %d; revision %d stays in force", head.Revision, accepted.Revision))

		return
	}
	h.repairTable(ctx, head, etag, accepted)
}

// repairTable writes the accepted revision back to the table if the head is one of its ancestors, as after restoring the table
// from a backup. Any other head is a fork, which only an operator can resolve.
func (h *Holder) repairTable(ctx context.Context, head Record, etag string, accepted Record) {
	if !accepted.DescendsFrom(head) {
		h.logDecision(ctx, slog.LevelError, "fork", head, "revision in the table is not an ancestor of the one in force; apply the intended tree again")

		return
	}
	if err := h.rows.writeHead(ctx, accepted, etag); err != nil {
		if !errors.Is(err, store.ErrConflict) {
			h.logDecision(ctx, slog.LevelWarn, "mendFailed", accepted, err.Error())
		}

		return
	}
	h.logDecision(ctx, slog.LevelWarn, "mended", accepted, "wrote the accepted revision to the table, which held an older one")
}

// exchangeWithRandomNode exchanges revisions with a random node, and reports whether that succeeded.
func (h *Holder) exchangeWithRandomNode(ctx context.Context) bool {
	peers := h.otherNodes()
	if len(peers) == 0 {
		return false
	}

	return h.exchangeWith(ctx, peers[rand.IntN(len(peers))].Control) == nil
}

// exchangeWith compares revisions with the node at the address, and transfers the higher one to the node with the lower one.
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

// propagateLoop exchanges revisions with propagationFanOut random nodes after each adoption.
func (h *Holder) propagateLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.propagate:
		}
		peers := h.otherNodes()
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		var calls errgroup.Group
		for _, peer := range peers[:min(propagationFanOut, len(peers))] {
			calls.Go(func() error {
				_ = h.exchangeWith(ctx, peer.Control)

				return nil
			})
		}
		_ = calls.Wait()
	}
}

// otherNodes returns the callable nodes apart from this one.
func (h *Holder) otherNodes() []member.Entry {
	var nodes []member.Entry
	for _, entry := range h.fleet.All() {
		if entry.ID != h.options.Node && callable(entry) {
			nodes = append(nodes, entry)
		}
	}

	return nodes
}

// callable reports whether the node has a control address and is neither dead nor gone.
func callable(entry member.Entry) bool {
	return entry.Control != "" && entry.State != member.StateDead && entry.State != member.StateLeft
}
