package gossip

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	contactPrefix   = "contacts/"
	defaultContacts = 5 * time.Minute
	// aloneContacts is the time between looks while no other node is known.
	aloneContacts = 2 * time.Second
)

// Table keeps the rows by which newcomers find their first contacts.
type Table interface {
	Configured() bool
	Put(ctx context.Context, key string, value []byte, etag string) (string, error)
	Delete(ctx context.Context, key, etag string) error
	List(ctx context.Context, prefix, after string) ([]store.Row, error)
}

// contact is the value of one row.
type contact struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Control    string `json:"control"`
}

// contactLoop keeps rows and contacts in step at jittered intervals.
func (g *Gossip) contactLoop(ctx context.Context) error {
	period := aloneContacts
	wait := time.Duration(0)
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()

			return nil
		case <-timer.C:
		}
		if err := g.refreshContacts(ctx); err != nil && !errors.Is(err, context.Canceled) {
			g.options.Log.LogAttrs(ctx, slog.LevelDebug, "contacts not refreshed", slog.String("error", err.Error()))
		}
		if len(g.All()) > 1 {
			period = g.options.ContactInterval
		}
		wait = period/2 + time.Duration(rand.Int64N(int64(period)))
	}
}

// refreshContacts reads all rows, and writes or removes those that are this node's business.
func (g *Gossip) refreshContacts(ctx context.Context) error {
	rows, err := g.table.List(ctx, contactPrefix, "")
	if err != nil {
		return err
	}
	own := contact{ID: g.options.Self.ID, DataCentre: g.options.Self.DataCentre, Control: g.control.Address()}
	listed := false
	for _, row := range rows {
		var found contact
		if err := json.Unmarshal(row.Value, &found); err != nil {
			g.options.Log.LogAttrs(ctx, slog.LevelWarn, "contact not read", slog.String("key", row.Key), slog.String("error", err.Error()))

			continue
		}
		if found == own {
			listed = true

			continue
		}
		if err := g.takeContact(ctx, row, found); err != nil {
			return err
		}
	}

	g.wake()

	return g.keepOwn(ctx, own, listed)
}

// takeContact uses a row, and removes it if its node has ended.
func (g *Gossip) takeContact(ctx context.Context, row store.Row, found contact) error {
	ended := false
	g.step(ctx, func(time.Time) []member.Action {
		known, ok := g.fleet.Find(found.ID)
		ended = ok && known.State.Ended() && known.Control == found.Control
		if !ended {
			g.fleet.AddContacts([]string{found.Control})
		}

		return nil
	})
	if !ended || found.DataCentre != g.options.Self.DataCentre {
		return nil
	}

	return g.table.Delete(ctx, row.Key, row.ETag)
}

// keepOwn writes this node's row if newcomers should find it, and removes it otherwise.
func (g *Gossip) keepOwn(ctx context.Context, own contact, listed bool) error {
	wanted := false
	g.step(ctx, func(time.Time) []member.Action {
		wanted = g.fleet.IsContact() && !g.fleet.Self().State.Ended()

		return nil
	})
	key := contactPrefix + own.DataCentre + "/" + own.ID
	if listed && !wanted {
		return g.table.Delete(ctx, key, "")
	}
	if !wanted || listed {
		return nil
	}
	value, err := json.Marshal(own)
	if err != nil {
		return errors.Wrap(err, "encode contact")
	}
	_, err = g.table.Put(ctx, key, value, "")

	return err
}
