package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// Edit is a change to the settings requested by an operator.
type Edit struct {
	// ID identifies the edit; Propose generates one if it is empty.
	ID     string
	Author string
	Note   string
	// Base is the revision that the operator edited, Text the resulting tree.
	Base uint64
	Text string
	// Untested accepts the edit even if there are too few important requests on trial for a decision.
	Untested bool
}

// StateUnknown is the state of an edit if the write that accepts it may or may not have taken effect.
const StateUnknown trial.State = "unknown"

// Result is the decision about an edit.
type Result struct {
	State trial.State `json:"state"`
	Edit  string      `json:"edit"`
	// Revision is the revision that the accepted edit became, or the one in force if the edit changes nothing.
	Revision uint64      `json:"revision,omitempty"`
	Reason   call.Reason `json:"reason"`
	Detail   string      `json:"detail,omitempty"`
	// Merged reports that the edit was merged with edits accepted since its base.
	Merged    bool           `json:"merged,omitempty"`
	Conflicts tree.Conflicts `json:"conflicts,omitempty"`
	Problems  tree.Problems  `json:"problems,omitempty"`
	Changes   []string       `json:"changes,omitempty"`
	// Warnings describe conditions that the operator should look into.
	Warnings []string `json:"warnings,omitempty"`
}

// refusedResult returns the result of a refused edit.
func refusedResult(edit Edit, reason call.Reason, detail string) Result {
	return Result{State: trial.StateRefused, Edit: edit.ID, Reason: reason, Detail: detail}
}

// resultForError returns the result of an edit that is refused because of the error.
func resultForError(edit Edit, err error) Result {
	var conflicts tree.Conflicts
	var problems tree.Problems
	switch {
	case errors.As(err, &conflicts):
		result := refusedResult(edit, trial.ReasonConflict, conflicts.Error())
		result.Conflicts = conflicts

		return result
	case errors.As(err, &problems):
		result := refusedResult(edit, trial.ReasonInvalid, problems.Error())
		result.Problems = problems

		return result
	case errors.Is(err, ErrUnknownRevision):
		return refusedResult(edit, trial.ReasonInvalid, err.Error())
	default:
		return refusedResult(edit, call.ReasonTableAway, err.Error())
	}
}

// headState is the state that an edit is merged with and applied to: the revision in force, and the ETag of the head row for the
// conditional write. A warning reports that the two do not belong together.
type headState struct {
	record  Record
	tree    *tree.Tree
	etag    string
	warning string
}

// readHead reads the head row, and adopts its revision if that is newer than the one in force. Otherwise only its ETag is used.
func (h *Holder) readHead(ctx context.Context) (headState, error) {
	stored, etag, err := h.rows.head(ctx)
	if err != nil {
		h.recordTableError(ctx, err)

		return headState{}, err
	}
	if stored.Revision > h.Record().Revision {
		h.Adopt(ctx, stored, "table")
	}
	current := h.NodeState()
	head := headState{record: current.Record(), tree: current.accepted.Tree(), etag: etag}
	if head.record.Revision != stored.Revision || head.record.Edit != stored.Edit {
		head.warning = "the table holds an older or conflicting revision; the edit is based on the one in force"
	}

	return head, nil
}

// TreeAt returns the tree of a revision, ErrUnknownRevision if it is not stored. Revision 0 is the initial tree.
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
	record, err := h.rows.archivedRecord(ctx, revision)
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

// merge returns the tree of the edit, merged with the changes made between its base and the revision in force. The error is
// tree.Problems, tree.Conflicts or that of reading the base.
func (h *Holder) merge(ctx context.Context, edit Edit, head headState) (*tree.Tree, error) {
	wanted, err := tree.Parse(edit.Text)
	if err != nil {
		return nil, err
	}
	if edit.Base == head.record.Revision {
		return wanted, nil
	}
	base, err := h.TreeAt(ctx, edit.Base)
	if err != nil {
		return nil, err
	}

	return tree.Merge(base, head.tree, wanted)
}

// trialSettings returns the conditions for accepting a proposal and the share of nodes that run it on trial. They come from the
// tree in force, so that an edit cannot loosen the conditions under which it is judged itself.
func trialSettings(t *tree.Tree, untested bool) (trial.Guard, float64) {
	policy := tree.NewSnapshot(0, t).Policy("", "", "", "")

	return trial.Guard{Goodput: policy.GuardGoodput, Duration: policy.TrialTime, Untested: untested}, policy.TrialShare
}

// describeChanges returns one line for each setting that differs.
func describeChanges(from, to *tree.Tree) []string {
	changes := tree.Diff(from, to)
	lines := make([]string, len(changes))
	for i, change := range changes {
		lines[i] = change.String()
	}

	return lines
}

// proposalLifetime returns the time after which other nodes consider an undecided proposal expired.
func proposalLifetime(guard trial.Guard) time.Duration {
	const trialDurations, margin = 6, 10 * time.Second

	return trialDurations*guard.Duration + margin
}
