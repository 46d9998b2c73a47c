package gossip

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/internal/waits"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	contactPrefix          = "contacts/"
	defaultContactInterval = 5 * time.Minute
	// joinContactInterval is the mean time between refreshes while this node knows no other member.
	joinContactInterval = 2 * time.Second
)

// Table is the table service, in which joining nodes look up their contacts.
type Table interface {
	Configured() bool
	Put(ctx context.Context, key string, value []byte, etag string) (string, error)
	Delete(ctx context.Context, key, etag string) error
	List(ctx context.Context, prefix, after string) ([]store.Row, error)
	// Era returns the number of times that the table has lost acknowledged rows, and a channel that is closed when it happens again.
	Era() (number uint64, changed <-chan struct{})
}

// contact is the value of a contact row.
type contact struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Control    string `json:"control"`
}

// contactLoop refreshes the contacts at jittered intervals until the context ends.
func (g *Gossip) contactLoop(ctx context.Context) error {
	interval := joinContactInterval
	wait := time.Duration(0)
	_, lost := g.table.Era()
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()

			return nil
		case <-lost:
			// all nodes list the contacts again
			waits.Sleep(ctx, rand.N(joinContactInterval))
		case <-timer.C:
		}
		timer.Stop()
		_, lost = g.table.Era()
		if err := g.refreshContacts(ctx); err != nil && !errors.Is(err, context.Canceled) {
			g.options.Log.LogAttrs(ctx, slog.LevelDebug, "could not refresh contacts", slog.String("error", err.Error()))
		}
		if len(g.All()) > 1 {
			interval = g.options.ContactInterval
		}
		wait = interval/2 + time.Duration(rand.Int64N(int64(interval)))
	}
}

// refreshContacts adds the listed contacts to the fleet, deletes the rows of ended nodes of this data centre, and updates this
// node's own row.
func (g *Gossip) refreshContacts(ctx context.Context) error {
	rows, err := g.table.List(ctx, contactPrefix, "")
	if err != nil {
		return err
	}
	own := contact{ID: g.options.Self.ID, DataCentre: g.options.Self.DataCentre, Control: g.control.Address()}
	ownListed := false
	for _, row := range rows {
		var other contact
		if err := json.Unmarshal(row.Value, &other); err != nil {
			g.options.Log.LogAttrs(ctx, slog.LevelWarn, "skipping malformed contact row", slog.String("key", row.Key), slog.String("error", err.Error()))

			continue
		}
		if other == own {
			ownListed = true

			continue
		}
		if err := g.useContact(ctx, row, other); err != nil {
			return err
		}
	}

	g.wake()

	return g.updateOwnRow(ctx, own, ownListed)
}

// useContact adds the contact to the fleet. If its node has ended, it deletes the row instead, in this node's data centre only.
func (g *Gossip) useContact(ctx context.Context, row store.Row, other contact) error {
	ended := false
	g.apply(ctx, func(time.Time) []member.Action {
		entry, ok := g.fleet.Find(other.ID)
		ended = ok && entry.State.Ended() && entry.Control == other.Control
		if !ended {
			g.fleet.AddContacts([]string{other.Control})
		}

		return nil
	})
	if !ended || other.DataCentre != g.options.Self.DataCentre {
		return nil
	}

	return g.table.Delete(ctx, row.Key, row.ETag)
}

// updateOwnRow puts this node's row if the node should be listed as a contact, and deletes it otherwise.
func (g *Gossip) updateOwnRow(ctx context.Context, own contact, ownListed bool) error {
	wanted := false
	g.apply(ctx, func(time.Time) []member.Action {
		wanted = g.fleet.IsContact() && !g.fleet.Self().State.Ended()

		return nil
	})
	key := contactPrefix + own.DataCentre + "/" + own.ID
	if ownListed && !wanted {
		return g.table.Delete(ctx, key, "")
	}
	if !wanted || ownListed {
		return nil
	}
	value, err := json.Marshal(own)
	if err != nil {
		return errors.Wrap(err, "encode contact")
	}
	_, err = g.table.Put(ctx, key, value, "")

	return err
}
