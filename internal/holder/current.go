package holder

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// AdoptResult is the result of comparing a record received from the table or another node with the accepted revision.
type AdoptResult string

// Results of adoption; the constants other than RecordAdopted leave the accepted revision in place.
const (
	RecordAdopted AdoptResult = "adopted"
	RecordSame    AdoptResult = "same"
	RecordOlder   AdoptResult = "older"
	// RecordFork means that the record has the number of the accepted revision, but comes from another edit.
	RecordFork AdoptResult = "fork"
)

// ErrBusy is returned for the offer of a proposal while another one is on trial on the node.
var ErrBusy = errors.New("another proposal is on trial here")

// ErrWrongBase is returned for the offer of a proposal that is not based on the accepted revision.
var ErrWrongBase = errors.New("proposal builds on another revision")

// NodeState holds the accepted revision of one node and the proposal on trial there, if any. It is immutable: methods that
// change it return a copy.
type NodeState struct {
	record   Record
	accepted *tree.Snapshot
	trial    *activeTrial
}

// activeTrial is a proposal that the node uses in place of the accepted revision until the lease expires.
type activeTrial struct {
	editID      string
	snapshot    *tree.Snapshot
	leaseExpiry time.Time
}

// NewNodeState returns a state without an accepted revision; the initial tree is used until there is one.
func NewNodeState(initial *tree.Snapshot) NodeState {
	return NodeState{accepted: initial}
}

// Record returns the accepted revision, the zero Record if there is none.
func (s NodeState) Record() Record {
	return s.record
}

// Snapshot returns the settings that the node uses: the proposal on trial or else the accepted revision.
func (s NodeState) Snapshot() *tree.Snapshot {
	if s.trial != nil {
		return s.trial.snapshot
	}

	return s.accepted
}

// Trial returns the ID of the edit on trial, empty for none.
func (s NodeState) Trial() string {
	if s.trial == nil {
		return ""
	}

	return s.trial.editID
}

// Adopt returns the state with the record as accepted revision, and without a trial, if the record is newer. It returns an error
// if the text of a newer record is not a valid tree.
func (s NodeState) Adopt(record Record) (NodeState, AdoptResult, error) {
	switch {
	case record.Revision < s.record.Revision:
		return s, RecordOlder, nil
	case record.Revision == s.record.Revision && record.Edit != s.record.Edit:
		return s, RecordFork, nil
	case record.Revision == s.record.Revision:
		return s, RecordSame, nil
	}
	parsed, err := tree.Parse(record.Text)
	if err != nil {
		return s, RecordOlder, errors.Wrapf(err, "adopt revision %d", record.Revision)
	}

	return NodeState{record: record, accepted: tree.NewSnapshot(record.Revision, parsed)}, RecordAdopted, nil
}

// StartTrial puts the proposal with the given text on trial, or renews its lease if it already is. The error is ErrBusy,
// ErrWrongBase or tree.Problems.
func (s NodeState) StartTrial(editID string, base uint64, text string, leaseExpiry time.Time) (NodeState, error) {
	if s.trial != nil && s.trial.editID != editID {
		return s, errors.Wrapf(ErrBusy, "edit %s", s.trial.editID)
	}
	if base != s.record.Revision {
		return s, errors.Wrapf(ErrWrongBase, "on %d, in force is %d", base, s.record.Revision)
	}
	parsed, err := tree.Parse(text)
	if err != nil {
		return s, err
	}
	s.trial = &activeTrial{editID: editID, snapshot: tree.NewSnapshot(base, parsed).WithTrial(editID, s.accepted), leaseExpiry: leaseExpiry}

	return s, nil
}

// RenewLease extends the lease of the edit, if that is the one on trial.
func (s NodeState) RenewLease(editID string, leaseExpiry time.Time) NodeState {
	if s.Trial() != editID || editID == "" {
		return s
	}
	renewed := *s.trial
	renewed.leaseExpiry = leaseExpiry
	s.trial = &renewed

	return s
}

// EndTrial ends the trial of the edit, if that is the one on trial.
func (s NodeState) EndTrial(editID string) NodeState {
	if s.Trial() == editID {
		s.trial = nil
	}

	return s
}

// ExpireLease ends a trial whose lease has expired, and reports whether it did.
func (s NodeState) ExpireLease(now time.Time) (NodeState, bool) {
	if s.trial == nil || now.Before(s.trial.leaseExpiry) {
		return s, false
	}
	s.trial = nil

	return s, true
}
