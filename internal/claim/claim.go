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

// Errors that Claim, Move and Lookup return.
var (
	// ErrKeyReused means that the key was used before for a request with different content.
	ErrKeyReused = errors.New("key was used for another request")
	// ErrTableUnavailable means that the table could not be read or written, so that the holder of the key is unknown and the request
	// must not be sent.
	ErrTableUnavailable = errors.New("table cannot tell who holds the key")
)

const (
	claimPrefix   = "claims/"
	maxAttempts   = 3
	retryInterval = 20 * time.Millisecond
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 256
)

// Table is the part of the platform's table service that this package uses.
type Table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Insert(ctx context.Context, key string, value []byte) (string, error)
	Put(ctx context.Context, key string, value []byte, etag string) (string, error)
}

// Key identifies a request that its caller may retry under the same idempotency key.
type Key struct {
	Service string
	// Caller is the name that the caller gives, empty for none.
	Caller string
	Key    string
	// Digest is a hash of the content of the request.
	Digest uint64
}

// rowKey returns the key of the table row. It contains a hash, so that it is short and free of characters chosen by the caller.
func (k Key) rowKey() string {
	hash := xxhash.New()
	for _, part := range []string{k.Service, k.Caller, k.Key} {
		_, _ = hash.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}

	return claimPrefix + k.Service + "/" + strconv.FormatUint(hash.Sum64(), ticketBase)
}

// claimRow is the value of a claim's table row, encoded as JSON.
type claimRow struct {
	Ticket
	Caller string `json:"caller,omitempty"`
	Key    string `json:"key"`
	Digest uint64 `json:"print"`
}

// Claim inserts the proposed ticket for the key. It returns the ticket that holds the key, and whether that is the proposed one.
func Claim(ctx context.Context, table Table, key Key, proposed Ticket) (holder Ticket, claimed bool, err error) {
	value, err := json.Marshal(claimRow{Ticket: proposed, Caller: key.Caller, Key: key.Key, Digest: key.Digest})
	if err != nil {
		return Ticket{}, false, errors.Wrap(err, "encode claim")
	}
	for attempt := 0; attempt < maxAttempts && ctx.Err() == nil; attempt++ {
		_, err = table.Insert(ctx, key.rowKey(), value)
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

// Move replaces the retired ticket by the proposed one if it still holds the key, and returns the ticket that holds the key.
func Move(ctx context.Context, table Table, key Key, retired, proposed Ticket) (holder Ticket, err error) {
	value, err := json.Marshal(claimRow{Ticket: proposed, Caller: key.Caller, Key: key.Key, Digest: key.Digest})
	if err != nil {
		return Ticket{}, errors.Wrap(err, "encode claim")
	}
	for attempt := 0; attempt < maxAttempts && ctx.Err() == nil; attempt++ {
		var etag string
		holder, etag, err = read(ctx, table, key)
		if err == nil && holder != retired {
			return holder, nil
		}
		if err == nil {
			_, err = table.Put(ctx, key.rowKey(), value, etag)
		}
		if err == nil {
			return proposed, nil
		}
		if errors.Is(err, ErrKeyReused) {
			return Ticket{}, err
		}
		pause(ctx)
	}

	return Ticket{}, errors.CombineErrors(errors.Wrapf(ErrTableUnavailable, "move key of %s", key.Service), err)
}

// Lookup returns the ticket that holds the key. The error is store.ErrNotFound if there is none, and ErrKeyReused if it is held by
// a request with different content.
func Lookup(ctx context.Context, table Table, key Key) (Ticket, error) {
	holder, _, err := read(ctx, table, key)

	return holder, err
}

func read(ctx context.Context, table Table, key Key) (holder Ticket, etag string, err error) {
	row, err := table.Get(ctx, key.rowKey())
	if err != nil {
		return Ticket{}, "", errors.Wrap(err, "look key up")
	}
	var stored claimRow
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return Ticket{}, "", errors.Wrap(err, "decode claim")
	}
	if stored.Key != key.Key || stored.Caller != key.Caller || stored.Digest != key.Digest {
		return Ticket{}, "", errors.Wrapf(ErrKeyReused, "service %s", key.Service)
	}

	return stored.Ticket, row.ETag, nil
}

func pause(ctx context.Context) {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
