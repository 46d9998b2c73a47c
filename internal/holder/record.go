package holder

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// maxAncestors is the number of earlier revisions that a record lists.
const maxAncestors = 32

// Ancestor identifies a revision by its number and by the edit that it was accepted from. Two revisions with the same number and
// different edits are a fork.
type Ancestor struct {
	Revision uint64    `json:"revision"`
	Edit     string    `json:"edit"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
}

// Record is an accepted revision in the form in which the table stores it and nodes exchange it; it is immutable. Reason and
// Detail hold the decision about the trial, and Text the tree.
type Record struct {
	Ancestor
	Note   string      `json:"note,omitempty"`
	Reason call.Reason `json:"reason"`
	Detail string      `json:"detail,omitempty"`
	Text   string      `json:"text"`
	// Line lists up to maxAncestors revisions before this one, newest first.
	Line []Ancestor `json:"line"`
}

// WithParent returns a copy with the next revision number after the parent, and with the parent and its ancestors in Line.
func (r Record) WithParent(parent Record) Record {
	r.Revision = parent.Revision + 1
	r.Line = nil
	if parent.Revision > 0 {
		r.Line = append(r.Line, parent.Ancestor)
	}
	r.Line = append(r.Line, parent.Line[:min(len(parent.Line), maxAncestors-1)]...)

	return r
}

// DescendsFrom reports whether the other revision is an ancestor of this one. Ancestors that are no longer listed in Line are
// not recognised, apart from revision 0.
func (r Record) DescendsFrom(other Record) bool {
	if other.Revision == 0 {
		return true
	}
	for _, ancestor := range r.Line {
		if ancestor.Revision == other.Revision {
			return ancestor.Edit == other.Edit
		}
	}

	return false
}

// includes reports whether the other revision is this one or one of its listed ancestors.
func (r Record) includes(other Record) bool {
	if r.Revision == other.Revision {
		return r.Edit == other.Edit
	}

	return r.Revision > other.Revision && r.DescendsFrom(other)
}

func (r Record) encode() ([]byte, error) {
	value, err := json.Marshal(r)

	return value, errors.Wrapf(err, "encode revision %d", r.Revision)
}

func decodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode revision")
	}

	return r, nil
}
