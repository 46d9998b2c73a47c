package holder

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Change says what became of a record that a node was shown.
type Change string

// Outcomes of adoption.
const (
	ChangeAdopted Change = "adopted"
	ChangeSame    Change = "same"
	ChangeOlder   Change = "older"
	// ChangeFork means another record under the number in force.
	ChangeFork Change = "fork"
)

// ErrBusy is returned for an offer while another proposal acts on the node.
var ErrBusy = errors.New("another proposal is on trial here")

// ErrWrongBase is returned for an offer that does not build on the revision in force.
var ErrWrongBase = errors.New("proposal builds on another revision")

// Current is what one node holds: the accepted revision and perhaps a proposal; it is immutable.
type Current struct {
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

// NewCurrent holds the tree that serves until a revision is accepted.
func NewCurrent(initial *tree.Snapshot) Current {
	return Current{accepted: initial}
}

// Record returns the accepted revision.
func (c Current) Record() Record {
	return c.record
}

// Snapshot returns what acts on the node: the proposal on trial, else the accepted revision.
func (c Current) Snapshot() *tree.Snapshot {
	if c.trial != nil {
		return c.trial.snapshot
	}

	return c.accepted
}

// Trial returns the edit on trial, empty for none.
func (c Current) Trial() string {
	if c.trial == nil {
		return ""
	}

	return c.trial.edit
}

// Adopt takes a newer record over, and never an older one; a record that does not parse is an error.
func (c Current) Adopt(record Record) (Current, Change, error) {
	switch {
	case record.Revision < c.record.Revision:
		return c, ChangeOlder, nil
	case record.Revision == c.record.Revision && record.Edit != c.record.Edit:
		return c, ChangeFork, nil
	case record.Revision == c.record.Revision:
		return c, ChangeSame, nil
	}
	parsed, err := tree.Parse(record.Text)
	if err != nil {
		return c, ChangeOlder, errors.Wrapf(err, "adopt revision %d", record.Revision)
	}

	return Current{record: record, accepted: tree.NewSnapshot(record.Revision, parsed)}, ChangeAdopted, nil
}

// Offer puts a proposal on trial, or renews its lease; the error is ErrBusy, ErrWrongBase or tree.Problems.
func (c Current) Offer(edit string, base uint64, text string, until time.Time) (Current, error) {
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

// Renew prolongs the lease of the edit if it is on trial here.
func (c Current) Renew(edit string, until time.Time) Current {
	if c.Trial() != edit || edit == "" {
		return c
	}
	renewed := *c.trial
	renewed.until = until
	c.trial = &renewed

	return c
}

// End takes the edit off trial if it is the one here.
func (c Current) End(edit string) Current {
	if c.Trial() == edit {
		c.trial = nil
	}

	return c
}

// Lapse takes a proposal off trial whose lease has run out.
func (c Current) Lapse(now time.Time) (Current, bool) {
	if c.trial == nil || now.Before(c.trial.until) {
		return c, false
	}
	c.trial = nil

	return c, true
}
