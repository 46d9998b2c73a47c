package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// Edit is what an operator wants to change.
type Edit struct {
	ID     string
	Author string
	Note   string
	// Base is the revision that the text was made from.
	Base uint64
	Text string
	// Untested accepts the edit though no important requests show its effect.
	Untested bool
}

// StateUnknown is the state of an edit whose last write may have taken effect.
const StateUnknown trial.State = "unknown"

// Result is what became of an edit.
type Result struct {
	State trial.State `json:"state"`
	Edit  string      `json:"edit"`
	// Revision is the number under which the edit is in force.
	Revision uint64      `json:"revision,omitempty"`
	Reason   call.Reason `json:"reason"`
	Detail   string      `json:"detail,omitempty"`
	// Merged says that the edit was joined with one accepted since its base.
	Merged    bool           `json:"merged,omitempty"`
	Conflicts tree.Conflicts `json:"conflicts,omitempty"`
	Problems  tree.Problems  `json:"problems,omitempty"`
	Changes   []string       `json:"changes,omitempty"`
	// Warnings are things an operator should look into.
	Warnings []string `json:"warnings,omitempty"`
}

func refused(edit Edit, reason call.Reason, detail string) Result {
	return Result{State: trial.StateRefused, Edit: edit.ID, Reason: reason, Detail: detail}
}

// refusedFor turns an error into the result that shows it.
func refusedFor(edit Edit, err error) Result {
	var conflicts tree.Conflicts
	var problems tree.Problems
	switch {
	case errors.As(err, &conflicts):
		result := refused(edit, trial.ReasonConflict, conflicts.Error())
		result.Conflicts = conflicts

		return result
	case errors.As(err, &problems):
		result := refused(edit, trial.ReasonInvalid, problems.Error())
		result.Problems = problems

		return result
	case errors.Is(err, ErrUnknownRevision):
		return refused(edit, trial.ReasonInvalid, err.Error())
	default:
		return refused(edit, call.ReasonTableAway, err.Error())
	}
}

// ground is what an edit is put on: the revision in force, and the table's head that the write is conditional on.
type ground struct {
	record  Record
	tree    *tree.Tree
	etag    string
	warning string
}

// ground reads the table's head; a head that is older than what is in force only lends its ETag.
func (h *Holder) ground(ctx context.Context) (ground, error) {
	head, etag, err := h.rows.head(ctx)
	if err != nil {
		h.lost(ctx, err)

		return ground{}, err
	}
	if head.Revision > h.Record().Revision {
		h.Adopt(ctx, head, "table")
	}
	current := h.NodeState()
	g := ground{record: current.Record(), tree: current.accepted.Tree(), etag: etag}
	if g.record.Revision != head.Revision || g.record.Edit != head.Edit {
		g.warning = "the table holds an older or another revision than the one in force; the edit builds on the one in force"
	}

	return g, nil
}

// TreeAt returns the tree of a revision, ErrUnknownRevision if it is not kept.
func (h *Holder) TreeAt(ctx context.Context, revision uint64) (*tree.Tree, error) {
	current := h.NodeState()
	switch {
	case revision == current.Record().Revision:
		return current.accepted.Tree(), nil
	case revision == 0:
		return h.options.Initial.Tree(), nil
	case h.rows == nil:
		return nil, errors.Wrapf(ErrUnknownRevision, "no table to read revision %d from", revision)
	}
	record, err := h.rows.record(ctx, revision)
	if errors.Is(err, ErrUnknownRevision) {
		head, _, headErr := h.rows.head(ctx)
		if headErr == nil && head.Revision == revision {
			record, err = head, nil
		}
	}
	if err != nil {
		return nil, err
	}

	return tree.Parse(record.Text)
}

// merge brings the edit onto the ground.
func (h *Holder) merge(ctx context.Context, edit Edit, g ground) (*tree.Tree, error) {
	wanted, err := tree.Parse(edit.Text)
	if err != nil {
		return nil, err
	}
	if edit.Base == g.record.Revision {
		return wanted, nil
	}
	base, err := h.TreeAt(ctx, edit.Base)
	if err != nil {
		return nil, err
	}

	return tree.Merge(base, g.tree, wanted)
}

// guardOf reads the guards of the tree in force, so that an edit cannot loosen those that judge it.
func guardOf(t *tree.Tree, untested bool) (trial.Guard, float64) {
	policy := tree.NewSnapshot(0, t).Policy("", "", "", "")

	return trial.Guard{Goodput: policy.GuardGoodput, Duration: policy.TrialTime, Untested: untested}, policy.TrialShare
}

func describeChanges(from, to *tree.Tree) []string {
	changes := tree.Diff(from, to)
	lines := make([]string, len(changes))
	for i, change := range changes {
		lines[i] = change.String()
	}

	return lines
}

// proposalLife is how long a proposal may take in all before others hold it for expired.
func proposalLife(guard trial.Guard) time.Duration {
	const rounds, slack = 6, 10 * time.Second

	return rounds*guard.Duration + slack
}
