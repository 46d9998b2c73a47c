package claim

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/store"
)

// Errors of a claim.
var (
	// ErrKeyReused means that the key was used for a request with other content.
	ErrKeyReused = errors.New("key was used for another request")
	// ErrTableUnavailable means that the table could not tell who holds the key; nothing was sent.
	ErrTableUnavailable = errors.New("table cannot tell who holds the key")
)

const (
	claimPrefix = "claims/"
	claimTries  = 3
	claimPause  = 20 * time.Millisecond
	// MaxKey is the longest key in bytes.
	MaxKey = 256
)

// Table is the part of the platform's table service that claims need.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Insert(ctx context.Context, key string, value []byte) (string, error)
	Put(ctx context.Context, key string, value []byte, etag string) (string, error)
}

// Key identifies a request that its caller may repeat.
type Key struct {
	Service string
	// Caller is the name that the caller states, empty if it states none.
	Caller string
	Key    string
	// Digest is a digest of the request's content.
	Digest uint64
}

// row returns the key of the row; the hash keeps it short and its segments clean.
func (k Key) row() string {
	hash := xxhash.New()
	for _, part := range []string{k.Service, k.Caller, k.Key} {
		_, _ = hash.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}

	return claimPrefix + k.Service + "/" + strconv.FormatUint(hash.Sum64(), ticketBase)
}

// claim is the value of a row.
type claim struct {
	Ticket
	Caller string `json:"caller,omitempty"`
	Key    string `json:"key"`
	Print  uint64 `json:"print"`
}

// Claim inserts the proposed ticket for the key, and returns the one that holds it and whether that is the proposed one.
func Claim(ctx context.Context, table Table, key Key, proposed Ticket) (holder Ticket, own bool, err error) {
	value, err := json.Marshal(claim{Ticket: proposed, Caller: key.Caller, Key: key.Key, Print: key.Digest})
	if err != nil {
		return Ticket{}, false, errors.Wrap(err, "encode claim")
	}
	for try := 0; try < claimTries && ctx.Err() == nil; try++ {
		_, err = table.Insert(ctx, key.row(), value)
		switch {
		case err == nil:
			return proposed, true, nil
		case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnknownEffect):
			holder, err = Lookup(ctx, table, key)
		}
		if err == nil {
			return holder, holder == proposed, nil
		}
		if errors.Is(err, ErrKeyReused) {
			return Ticket{}, false, err
		}
		pause(ctx)
	}

	return Ticket{}, false, errors.CombineErrors(errors.Wrapf(ErrTableUnavailable, "claim key for %s", key.Service), err)
}

// Move gives the key to the proposed ticket if the retired one still holds it, and returns the holder.
func Move(ctx context.Context, table Table, key Key, retired, proposed Ticket) (holder Ticket, err error) {
	value, err := json.Marshal(claim{Ticket: proposed, Caller: key.Caller, Key: key.Key, Print: key.Digest})
	if err != nil {
		return Ticket{}, errors.Wrap(err, "encode claim")
	}
	for try := 0; try < claimTries && ctx.Err() == nil; try++ {
		var etag string
		holder, etag, err = read(ctx, table, key)
		if err == nil && holder != retired {
			return holder, nil
		}
		if err == nil {
			_, err = table.Put(ctx, key.row(), value, etag)
		}
		if err == nil {
			return proposed, nil
		}
		pause(ctx)
	}

	return Ticket{}, errors.CombineErrors(errors.Wrapf(ErrTableUnavailable, "move key of %s", key.Service), err)
}

// Lookup returns the ticket that holds the key; store.ErrNotFound if there is none, ErrOther if it is for another request.
func Lookup(ctx context.Context, table Table, key Key) (Ticket, error) {
	holder, _, err := read(ctx, table, key)

	return holder, err
}

func read(ctx context.Context, table Table, key Key) (holder Ticket, etag string, err error) {
	row, err := table.Get(ctx, key.row())
	if err != nil {
		return Ticket{}, "", errors.Wrap(err, "look key up")
	}
	var held claim
	if err := json.Unmarshal(row.Value, &held); err != nil {
		return Ticket{}, "", errors.Wrap(err, "decode claim")
	}
	if held.Key != key.Key || held.Caller != key.Caller || held.Print != key.Digest {
		return Ticket{}, "", errors.Wrapf(ErrKeyReused, "service %s", key.Service)
	}

	return held.Ticket, row.ETag, nil
}

func pause(ctx context.Context) {
	timer := time.NewTimer(claimPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
