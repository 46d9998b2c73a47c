package holder

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// Keys and key prefixes of the rows.
const (
	// keyHead is the key of the head row, which holds the latest accepted revision.
	keyHead = "settings/head"
	// prefixLog is the prefix for earlier revisions, archived by number and edit.
	prefixLog = "settings/log/"
	// prefixProposal is the prefix for proposals; see proposalKey.
	prefixProposal = "settings/proposal/"
)

// maxInsertAttempts bounds the attempts to insert a row if the responses are lost.
const maxInsertAttempts = 3

// ErrUnknownRevision is returned for a revision that is not stored.
var ErrUnknownRevision = errors.New("unknown revision")

// rowStore stores revisions and proposals in the platform's table. Its methods return the errors of package store, wrapped.
type rowStore struct {
	table Table
}

// head returns the record in the head row and the row's ETag, both empty if there is none.
func (s *rowStore) head(ctx context.Context) (Record, string, error) {
	record, etag, _, err := s.headIfChanged(ctx, "")

	return record, etag, err
}

// headIfChanged is like head, but returns an empty record and false if the row still has the given ETag.
func (s *rowStore) headIfChanged(ctx context.Context, etag string) (Record, string, bool, error) {
	row, changed, err := s.table.GetChanged(ctx, keyHead, etag)
	if errors.Is(err, store.ErrNotFound) {
		return Record{}, "", true, nil
	}
	if err != nil {
		return Record{}, "", false, errors.Wrap(err, "read head of settings")
	}
	if !changed {
		return Record{}, etag, false, nil
	}
	record, err := decodeRecord(row.Value)

	return record, row.ETag, true, err
}

// writeHead replaces the head row if it still has the given ETag. For an empty ETag it inserts the row if there is none.
func (s *rowStore) writeHead(ctx context.Context, record Record, etag string) error {
	value, err := record.encode()
	if err != nil {
		return err
	}
	if etag == "" {
		_, err = s.table.Insert(ctx, keyHead, value)
	} else {
		_, err = s.table.Put(ctx, keyHead, value, etag)
	}

	return errors.Wrapf(err, "write revision %d", record.Revision)
}

// archive stores a copy of the revision outside the head row, so that it can still be read once the head is replaced. A copy
// that already exists is kept: another coordinator may have written it first.
func (s *rowStore) archive(ctx context.Context, record Record) error {
	if record.Revision == 0 {
		return nil
	}
	value, err := record.encode()
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%010d-%s", prefixLog, record.Revision, record.Edit)
	for range maxInsertAttempts {
		_, err = s.table.Insert(ctx, key, value)
		if errors.Is(err, store.ErrUnknownEffect) {
			_, err = s.confirmWrite(ctx, key, value, err)
		}
		if err == nil || errors.Is(err, store.ErrConflict) {
			return nil
		}
		if !errors.Is(err, store.ErrUnknownEffect) {
			break
		}
	}

	return errors.Wrapf(err, "keep revision %d", record.Revision)
}

// archivedRecord returns an archived revision, ErrUnknownRevision if there is none.
func (s *rowStore) archivedRecord(ctx context.Context, revision uint64) (Record, error) {
	rows, err := s.table.List(ctx, fmt.Sprintf("%s%010d-", prefixLog, revision), "")
	if err != nil {
		return Record{}, errors.Wrapf(err, "read revision %d", revision)
	}
	if len(rows) == 0 {
		return Record{}, errors.Wrapf(ErrUnknownRevision, "read revision %d", revision)
	}

	return decodeRecord(rows[0].Value)
}

// proposalRow is a proposal with the key and the ETag of its row; the ETag is empty until the row is written.
type proposalRow struct {
	proposal trial.Proposal
	key      string
	etag     string
}

// proposalKey returns the key of the proposal's row, which contains the complement of its time so that newer proposals sort
// first.
func proposalKey(p trial.Proposal) string {
	return fmt.Sprintf("%s%020d-%s", prefixProposal, math.MaxInt64-p.ProposedAt.UnixNano(), p.Edit)
}

// writeProposal stores the next version of a proposal if its row is unchanged since it was last read or written. If the response
// is lost, it reads the row back to find out whether the write took effect.
func (s *rowStore) writeProposal(ctx context.Context, row proposalRow, next trial.Proposal) (proposalRow, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return row, errors.Wrap(err, "encode proposal")
	}
	var etag string
	if row.etag == "" {
		etag, err = s.table.Insert(ctx, row.key, value)
	} else {
		etag, err = s.table.Put(ctx, row.key, value, row.etag)
	}
	if errors.Is(err, store.ErrUnknownEffect) {
		etag, err = s.confirmWrite(ctx, row.key, value, err)
	}
	if err != nil {
		return row, errors.Wrapf(err, "write proposal %s", next.Edit)
	}

	return proposalRow{proposal: next, key: row.key, etag: etag}, nil
}

// confirmWrite returns the ETag of a row whose write got no response, or writeErr unless the row is found to have the value.
func (s *rowStore) confirmWrite(ctx context.Context, key string, value []byte, writeErr error) (string, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil || string(row.Value) != string(value) {
		return "", writeErr
	}

	return row.ETag, nil
}

// proposals returns the stored proposals, newest first.
func (s *rowStore) proposals(ctx context.Context) ([]proposalRow, error) {
	rows, err := s.table.List(ctx, prefixProposal, "")
	if err != nil {
		return nil, errors.Wrap(err, "list proposals")
	}
	proposals := make([]proposalRow, 0, len(rows))
	for _, row := range rows {
		var p trial.Proposal
		if err := json.Unmarshal(row.Value, &p); err != nil {
			return nil, errors.Wrapf(err, "decode proposal %s", row.Key)
		}
		proposals = append(proposals, proposalRow{proposal: p, key: row.Key, etag: row.ETag})
	}

	return proposals, nil
}

// expireProposal marks the proposal as expired because its coordinator failed to decide in time. It returns the row unchanged if
// that is not allowed, fails, or another node changed the row first.
func (s *rowStore) expireProposal(ctx context.Context, row proposalRow, now time.Time) proposalRow {
	expired, err := row.proposal.Fire(trial.Event{Trigger: trial.TriggerExpire, Now: now, Reason: trial.ReasonCoordinatorVanished})
	if err != nil {
		return row
	}
	if written, err := s.writeProposal(ctx, row, expired); err == nil {
		return written
	}

	return row
}
