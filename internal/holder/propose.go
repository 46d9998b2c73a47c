package holder

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

const (
	// maxRounds bounds the rounds of merge and trial of an edit; another round is needed if another edit was accepted meanwhile.
	maxRounds = 5
	// maxResolveAttempts bounds the attempts to find out whether a write without response took effect.
	maxResolveAttempts = 10
	// resolveInterval is the wait between these attempts while the table cannot be read.
	resolveInterval = 300 * time.Millisecond
)

// proposal is an edit that this node coordinates.
type proposal struct {
	holder *Holder
	edit   Edit
	// row is the proposal as last written to the table, without ETag until the first write.
	row    proposalRow
	result Result
}

// Propose merges an edit with the revision in force, runs it on trial and accepts or refuses it. It returns once that is
// decided, and waits for a proposal that this node already coordinates to be decided first.
func (h *Holder) Propose(ctx context.Context, edit Edit) Result {
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	if h.rows == nil {
		return refusedResult(edit, call.ReasonTableAway, "no platform in the settings of this node")
	}
	select {
	case h.proposing <- struct{}{}:
		defer func() { <-h.proposing }()
	case <-ctx.Done():
		return refusedResult(edit, trial.ReasonTrialBusy, "another edit is being decided by this node")
	}
	p := &proposal{holder: h, edit: edit}
	for range maxRounds {
		if p.runRound(ctx) {
			break
		}
	}
	if p.result.State == "" {
		p.refuse(ctx, trial.ReasonOvertaken, "other edits were accepted meanwhile, over and over")
	}
	h.logDecision(ctx, slog.LevelInfo, p.result.Reason, Record{Ancestor: Ancestor{Revision: p.result.Revision, Edit: edit.ID, Author: edit.Author}},
		string(p.result.State)+": "+p.result.Detail)

	return p.result
}

// runRound merges the edit, runs it on trial and accepts or refuses it. It reports whether the edit is decided; if not, another
// edit was accepted meanwhile.
func (p *proposal) runRound(ctx context.Context) bool {
	h := p.holder
	head, err := h.readHead(ctx)
	if err != nil {
		p.result = resultForError(p.edit, err)

		return true
	}
	merged, err := h.merge(ctx, p.edit, head)
	if err != nil {
		return p.refuseWithError(ctx, head, err)
	}
	changes := describeChanges(head.tree, merged)
	if len(changes) == 0 {
		p.result = Result{State: trial.StateAccepted, Edit: p.edit.ID, Revision: head.record.Revision, Reason: trial.ReasonUnchanged}

		return true
	}
	guard, share := trialSettings(head.tree, p.edit.Untested)
	if err := p.startTrial(ctx, changes, guard); err != nil {
		p.result = resultForError(p.edit, err)

		return true
	}
	verdict := h.runTrial(ctx, trialRun{editID: p.edit.ID, base: head.record.Revision, tree: merged, changed: tree.Diff(head.tree, merged), guard: guard, share: share})
	if verdict.Reason == trial.ReasonOvertaken {
		return false
	}
	if verdict.Action != trial.ActionAccept {
		p.refuse(ctx, verdict.Reason, verdict.Detail)

		return true
	}
	p.result.Changes = changes

	return p.accept(ctx, head, merged, verdict)
}

// startTrial writes the proposal to the table in state onTrial. In further rounds it does nothing.
func (p *proposal) startTrial(ctx context.Context, changes []string, guard trial.Guard) error {
	if p.row.etag != "" {
		return nil
	}
	now := time.Now()
	proposed := trial.New(p.edit.ID, p.edit.Author, p.holder.options.Node, p.edit.Base, now, now.Add(proposalLifetime(guard))).
		WithNote(p.edit.Note).WithChanges(changes)
	row, err := p.holder.rows.writeProposal(ctx, proposalRow{key: proposalKey(proposed)}, proposed)
	if err != nil {
		return err
	}
	p.row = row

	return p.fire(ctx, trial.Event{Trigger: trial.TriggerBegin})
}

// fire applies the event to the proposal and writes the result to the table.
func (p *proposal) fire(ctx context.Context, event trial.Event) error {
	event.Now = time.Now()
	next, err := p.row.proposal.Fire(event)
	if err != nil {
		return err
	}
	row, err := p.holder.rows.writeProposal(ctx, p.row, next)
	if err == nil {
		p.row = row
	}

	return err
}

// refuse ends the proposal. If the refusal cannot be written to the table, the result contains a warning.
func (p *proposal) refuse(ctx context.Context, reason call.Reason, detail string) {
	if p.result.State == "" {
		p.result = refusedResult(p.edit, reason, detail)
	}
	if p.row.etag == "" {
		return
	}
	ctx = context.WithoutCancel(ctx)
	if err := p.fire(ctx, trial.Event{Trigger: trial.TriggerRefuse, Reason: reason, Detail: detail}); err != nil {
		p.result.Warnings = append(p.result.Warnings, "the refusal could not be written to the history: "+err.Error())
	}
}

// refuseWithError refuses an edit that cannot be merged, and records it as a proposal all the same. It always reports the edit
// as decided.
func (p *proposal) refuseWithError(ctx context.Context, head headState, err error) bool {
	p.result = resultForError(p.edit, err)
	guard, _ := trialSettings(head.tree, false)
	if err := p.startTrial(ctx, []string{}, guard); err != nil {
		p.result.Warnings = append(p.result.Warnings, "the refusal could not be written to the history: "+err.Error())

		return true
	}
	p.refuse(ctx, p.result.Reason, p.result.Detail)

	return true
}

// accept archives the revision in force and writes the next one to the head row. It reports whether the edit is decided; if not,
// the head row has changed meanwhile.
func (p *proposal) accept(ctx context.Context, head headState, merged *tree.Tree, verdict trial.Verdict) bool {
	h := p.holder
	if !p.confirmNotExpired(ctx) {
		return true
	}
	if err := h.rows.archive(ctx, head.record); err != nil {
		p.refuse(ctx, call.ReasonTableAway, err.Error())

		return true
	}
	record := Record{
		Ancestor: Ancestor{Edit: p.edit.ID, Author: p.edit.Author, At: time.Now()},
		Note:     p.edit.Note, Reason: verdict.Reason, Detail: verdict.Detail, Text: merged.Text(),
	}.WithParent(head.record)
	err := h.rows.writeHead(ctx, record, head.etag)
	if err != nil {
		err = p.resolveWrite(ctx, record, head.etag, err)
	}
	switch {
	case err == nil:
		p.publish(ctx, head, record)
	case errors.Is(err, store.ErrConflict):
		return false
	case errors.Is(err, store.ErrUnknownEffect):
		p.result = Result{State: StateUnknown, Edit: p.edit.ID, Reason: call.ReasonTableAway, Detail: err.Error()}
	default:
		p.refuse(ctx, call.ReasonTableAway, err.Error())
	}

	return true
}

// confirmNotExpired reports whether the proposal may still be accepted, and sets the result if not. It rewrites the proposal's
// row on condition of its ETag, so that it fails if another node has marked the proposal as expired, as it may while this
// process is paused.
func (p *proposal) confirmNotExpired(ctx context.Context) bool {
	now := time.Now()
	if _, err := p.row.proposal.Fire(trial.Event{Trigger: trial.TriggerAccept, Now: now, Revision: 1}); err != nil {
		p.result = Result{State: trial.StateExpired, Edit: p.edit.ID, Reason: trial.ReasonCoordinatorVanished, Detail: err.Error()}

		return false
	}
	row, err := p.holder.rows.writeProposal(ctx, p.row, p.row.proposal)
	if errors.Is(err, store.ErrConflict) {
		p.result = Result{State: trial.StateExpired, Edit: p.edit.ID, Reason: trial.ReasonCoordinatorVanished, Detail: err.Error()}

		return false
	}
	if err != nil {
		p.refuse(ctx, call.ReasonTableAway, err.Error())

		return false
	}
	p.row = row

	return true
}

// resolveWrite finds out whether a write of the head row that failed or got no response took effect, and repeats it while the
// row is unchanged. It returns nil if the record is stored, store.ErrConflict if another one was written first, and otherwise
// the last error.
func (p *proposal) resolveWrite(ctx context.Context, record Record, etag string, writeErr error) error {
	rows := p.holder.rows
	for range maxResolveAttempts {
		if errors.Is(writeErr, store.ErrUnavailable) {
			return writeErr
		}
		head, currentETag, err := rows.head(ctx)
		switch {
		case err != nil:
			if !sleep(ctx, resolveInterval) {
				return writeErr
			}
		case head.includes(record):
			return nil
		case currentETag != etag:
			return errors.Wrapf(store.ErrConflict, "revision %d of edit %s was written first", head.Revision, head.Edit)
		default:
			if writeErr = rows.writeHead(ctx, record, etag); writeErr == nil {
				return nil
			}
		}
	}

	return writeErr
}

// publish puts the stored revision into force on this node, from where it is passed on to others, and records the acceptance.
func (p *proposal) publish(ctx context.Context, head headState, record Record) {
	p.holder.Adopt(ctx, record, "accepted by this node")
	p.result = Result{
		State: trial.StateAccepted, Edit: p.edit.ID, Revision: record.Revision, Reason: record.Reason, Detail: record.Detail,
		Merged: p.edit.Base != head.record.Revision, Changes: p.result.Changes,
	}
	if head.warning != "" {
		p.result.Warnings = append(p.result.Warnings, head.warning)
	}
	event := trial.Event{Trigger: trial.TriggerAccept, Reason: record.Reason, Detail: record.Detail, Revision: record.Revision}
	if err := p.fire(context.WithoutCancel(ctx), event); err != nil {
		p.result.Warnings = append(p.result.Warnings, "accepted, but the history still shows the trial: "+err.Error())
	}
}
