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

// Keys of the rows.
const (
	keyHead        = "settings/head"
	prefixLog      = "settings/log/"
	prefixProposal = "settings/proposal/"
)

// insertTries bounds how often an insert whose answer was lost is repeated.
const insertTries = 3

// ErrUnknownRevision is returned for a revision that is not kept.
var ErrUnknownRevision = errors.New("unknown revision")

// rowStore keeps revisions and proposals in the platform's table.
type rowStore struct {
	table Table
}

// head returns the newest revision and its ETag, both empty if there is none.
func (s *rowStore) head(ctx context.Context) (Record, string, error) {
	record, etag, _, err := s.headChanged(ctx, "")

	return record, etag, err
}

func (s *rowStore) headChanged(ctx context.Context, etag string) (Record, string, bool, error) {
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
	record, err := decode(row.Value)

	return record, row.ETag, true, err
}

// writeHead replaces the head if it still has that ETag, an empty one means that there is none.
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

// keep puts a revision into the history before its row at the head is replaced.
func (s *rowStore) keep(ctx context.Context, record Record) error {
	if record.Revision == 0 {
		return nil
	}
	value, err := record.encode()
	if err != nil {
		return err
	}
	key := fmt.Sprintf("%s%010d-%s", prefixLog, record.Revision, record.Edit)
	for range insertTries {
		_, err = s.table.Insert(ctx, key, value)
		if errors.Is(err, store.ErrUnknownEffect) {
			_, err = s.confirm(ctx, key, value, err)
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

// record returns a kept revision.
func (s *rowStore) record(ctx context.Context, revision uint64) (Record, error) {
	rows, err := s.table.List(ctx, fmt.Sprintf("%s%010d-", prefixLog, revision), "")
	if err != nil {
		return Record{}, errors.Wrapf(err, "read revision %d", revision)
	}
	if len(rows) == 0 {
		return Record{}, errors.Wrapf(ErrUnknownRevision, "read revision %d", revision)
	}

	return decode(rows[0].Value)
}

// proposalRow is a proposal and where it is kept.
type proposalRow struct {
	proposal trial.Proposal
	key      string
	etag     string
}

// proposalKey sorts newer proposals first.
func proposalKey(p trial.Proposal) string {
	return fmt.Sprintf("%s%020d-%s", prefixProposal, math.MaxInt64-p.ProposedAt.UnixNano(), p.Edit)
}

// write stores the proposal if nobody else changed its row; an answer that was lost is looked up.
func (s *rowStore) write(ctx context.Context, row proposalRow, next trial.Proposal) (proposalRow, error) {
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
		etag, err = s.confirm(ctx, row.key, value, err)
	}
	if err != nil {
		return row, errors.Wrapf(err, "write proposal %s", next.Edit)
	}

	return proposalRow{proposal: next, key: row.key, etag: etag}, nil
}

// confirm reads a row back whose write was not answered.
func (s *rowStore) confirm(ctx context.Context, key string, value []byte, lost error) (string, error) {
	present, err := s.table.Get(ctx, key)
	if err != nil || string(present.Value) != string(value) {
		return "", lost
	}

	return present.ETag, nil
}

// proposals returns the newest proposals first.
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

// expire marks a proposal whose coordinator vanished; another node may be quicker.
func (s *rowStore) expire(ctx context.Context, row proposalRow, now time.Time) proposalRow {
	expired, err := row.proposal.Fire(trial.Event{Trigger: trial.TriggerExpire, Now: now, Reason: trial.ReasonCoordinatorVanished})
	if err != nil {
		return row
	}
	if written, err := s.write(ctx, row, expired); err == nil {
		return written
	}

	return row
}
