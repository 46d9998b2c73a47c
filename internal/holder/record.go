package holder

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// maxLine is how many earlier revisions a record names.
const maxLine = 32

// Ancestor names one earlier revision.
type Ancestor struct {
	Revision uint64    `json:"revision"`
	Edit     string    `json:"edit"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
}

// Record is one accepted revision, as the table keeps it and nodes pass it on; it is immutable.
type Record struct {
	Ancestor
	Note   string      `json:"note,omitempty"`
	Reason call.Reason `json:"reason"`
	Detail string      `json:"detail,omitempty"`
	Text   string      `json:"text"`
	// Line names the latest revisions before this one, the newest first.
	Line []Ancestor `json:"line"`
}

// WithParent returns a copy that follows the other record.
func (r Record) WithParent(before Record) Record {
	r.Revision = before.Revision + 1
	r.Line = nil
	if before.Revision > 0 {
		r.Line = append(r.Line, before.Ancestor)
	}
	r.Line = append(r.Line, before.Line[:min(len(before.Line), maxLine-1)]...)

	return r
}

// DescendsFrom reports whether the other revision is one that led to this one, as far back as the record knows.
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

// holds reports whether the other revision is this one or one that led to it and is still named.
func (r Record) holds(other Record) bool {
	if r.Revision == other.Revision {
		return r.Edit == other.Edit
	}

	return r.Revision > other.Revision && r.DescendsFrom(other)
}

func (r Record) encode() ([]byte, error) {
	value, err := json.Marshal(r)

	return value, errors.Wrapf(err, "encode revision %d", r.Revision)
}

func decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(err, "decode revision")
	}

	return r, nil
}
