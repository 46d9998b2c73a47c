package holder

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// AdoptResult says what became of a record that a node was shown.
type AdoptResult string

// Outcomes of adoption.
const (
	RecordAdopted AdoptResult = "adopted"
	RecordSame    AdoptResult = "same"
	RecordOlder   AdoptResult = "older"
	// RecordFork means another record under the number in force.
	RecordFork AdoptResult = "fork"
)

// ErrBusy is returned for an offer while another proposal acts on the node.
var ErrBusy = errors.New("another proposal is on trial here")

// ErrWrongBase is returned for an offer that does not build on the revision in force.
var ErrWrongBase = errors.New("proposal builds on another revision")

// NodeState is what one node holds: the accepted revision and perhaps a proposal; it is immutable.
type NodeState struct {
	record   Record
	accepted *tree.Snapshot
	trial    *overlay
}

// overlay is a proposal that acts on this node for as long as its coordinator renews the lease.
type overlay struct {
	edit     string
	snapshot *tree.Snapshot
	until    time.Time
}

// NewNodeState holds the tree that serves until a revision is accepted.
func NewNodeState(initial *tree.Snapshot) NodeState {
	return NodeState{accepted: initial}
}

// Record returns the accepted revision.
func (c NodeState) Record() Record {
	return c.record
}

// Snapshot returns what acts on the node: the proposal on trial, else the accepted revision.
func (c NodeState) Snapshot() *tree.Snapshot {
	if c.trial != nil {
		return c.trial.snapshot
	}

	return c.accepted
}

// Trial returns the edit on trial, empty for none.
func (c NodeState) Trial() string {
	if c.trial == nil {
		return ""
	}

	return c.trial.edit
}

// Adopt takes a newer record over, and never an older one; a record that does not parse is an error.
func (c NodeState) Adopt(record Record) (NodeState, AdoptResult, error) {
	switch {
	case record.Revision < c.record.Revision:
		return c, RecordOlder, nil
	case record.Revision == c.record.Revision && record.Edit != c.record.Edit:
		return c, RecordFork, nil
	case record.Revision == c.record.Revision:
		return c, RecordSame, nil
	}
	parsed, err := tree.Parse(record.Text)
	if err != nil {
		return c, RecordOlder, errors.Wrapf(err, "adopt revision %d", record.Revision)
	}

	return NodeState{record: record, accepted: tree.NewSnapshot(record.Revision, parsed)}, RecordAdopted, nil
}

// StartTrial puts a proposal on trial, or renews its lease; the error is ErrBusy, ErrWrongBase or tree.Problems.
func (c NodeState) StartTrial(edit string, base uint64, text string, until time.Time) (NodeState, error) {
	if c.trial != nil && c.trial.edit != edit {
		return c, errors.Wrapf(ErrBusy, "edit %s", c.trial.edit)
	}
	if base != c.record.Revision {
		return c, errors.Wrapf(ErrWrongBase, "on %d, in force is %d", base, c.record.Revision)
	}
	parsed, err := tree.Parse(text)
	if err != nil {
		return c, err
	}
	c.trial = &overlay{edit: edit, snapshot: tree.NewSnapshot(base, parsed).WithTrial(edit, c.accepted), until: until}

	return c, nil
}

// RenewLease prolongs the lease of the edit if it is on trial here.
func (c NodeState) RenewLease(edit string, until time.Time) NodeState {
	if c.Trial() != edit || edit == "" {
		return c
	}
	renewed := *c.trial
	renewed.until = until
	c.trial = &renewed

	return c
}

// EndTrial takes the edit off trial if it is the one here.
func (c NodeState) EndTrial(edit string) NodeState {
	if c.Trial() == edit {
		c.trial = nil
	}

	return c
}

// ExpireLease takes a proposal off trial whose lease has run out.
func (c NodeState) ExpireLease(now time.Time) (NodeState, bool) {
	if c.trial == nil || now.Before(c.trial.until) {
		return c, false
	}
	c.trial = nil

	return c, true
}
