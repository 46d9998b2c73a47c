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
	// maxRounds bounds how often an edit is merged and tried anew because others were quicker.
	maxRounds = 5
	// resolveTries and resolvePause bound the search for the effect of a write whose answer was lost.
	resolveTries = 10
	resolvePause = 300 * time.Millisecond
)

// proposal is one edit on its way through merge, trial and acceptance, at its coordinator.
type proposal struct {
	holder *Holder
	edit   Edit
	row    proposalRow
	result Result
}

// Propose carries an edit through merge, trial and acceptance, and returns once it is decided.
func (h *Holder) Propose(ctx context.Context, edit Edit) Result {
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	if h.rows == nil {
		return refused(edit, call.ReasonTableAway, "no platform in the settings of this node")
	}
	select {
	case h.proposing <- struct{}{}:
		defer func() { <-h.proposing }()
	case <-ctx.Done():
		return refused(edit, trial.ReasonTrialBusy, "another edit is being decided by this node")
	}
	p := &proposal{holder: h, edit: edit}
	for range maxRounds {
		if p.round(ctx) {
			break
		}
	}
	if p.result.State == "" {
		p.refuse(ctx, trial.ReasonOvertaken, "other edits were accepted meanwhile, over and over")
	}
	h.note(ctx, slog.LevelInfo, p.result.Reason, Record{Ancestor: Ancestor{Revision: p.result.Revision, Edit: edit.ID, Author: edit.Author}},
		string(p.result.State)+": "+p.result.Detail)

	return p.result
}

// round takes the edit through once; it reports whether it is decided.
func (p *proposal) round(ctx context.Context) bool {
	h := p.holder
	g, err := h.ground(ctx)
	if err != nil {
		p.result = refusedFor(p.edit, err)

		return true
	}
	merged, err := h.merge(ctx, p.edit, g)
	if err != nil {
		return p.refuseFor(ctx, g, err)
	}
	changes := describeChanges(g.tree, merged)
	if len(changes) == 0 {
		p.result = Result{State: trial.StateAccepted, Edit: p.edit.ID, Revision: g.record.Revision, Reason: trial.ReasonUnchanged}

		return true
	}
	guard, share := guardOf(g.tree, p.edit.Untested)
	if err := p.begin(ctx, changes, guard); err != nil {
		p.result = refusedFor(p.edit, err)

		return true
	}
	verdict := h.try(ctx, attempt{edit: p.edit.ID, base: g.record.Revision, tree: merged, changed: tree.Diff(g.tree, merged), guard: guard, share: share})
	if verdict.Reason == trial.ReasonOvertaken {
		return false
	}
	if verdict.Action != trial.ActionAccept {
		p.refuse(ctx, verdict.Reason, verdict.Detail)

		return true
	}
	p.result.Changes = changes

	return p.accept(ctx, g, merged, verdict)
}

// begin records the proposal and puts it on trial, once.
func (p *proposal) begin(ctx context.Context, changes []string, guard trial.Guard) error {
	if p.row.etag != "" {
		return nil
	}
	now := time.Now()
	proposed := trial.New(p.edit.ID, p.edit.Author, p.holder.options.Node, p.edit.Base, now, now.Add(proposalLife(guard))).
		WithNote(p.edit.Note).WithChanges(changes)
	row, err := p.holder.rows.write(ctx, proposalRow{key: proposalKey(proposed)}, proposed)
	if err != nil {
		return err
	}
	p.row = row

	return p.fire(ctx, trial.Event{Trigger: trial.TriggerBegin})
}

// fire moves the proposal on and records it.
func (p *proposal) fire(ctx context.Context, event trial.Event) error {
	event.Now = time.Now()
	next, err := p.row.proposal.Fire(event)
	if err != nil {
		return err
	}
	row, err := p.holder.rows.write(ctx, p.row, next)
	if err == nil {
		p.row = row
	}

	return err
}

// refuse ends the proposal; the record of it may be missing if the table is away.
func (p *proposal) refuse(ctx context.Context, reason call.Reason, detail string) {
	if p.result.State == "" {
		p.result = refused(p.edit, reason, detail)
	}
	if p.row.etag == "" {
		return
	}
	ctx = context.WithoutCancel(ctx)
	if err := p.fire(ctx, trial.Event{Trigger: trial.TriggerRefuse, Reason: reason, Detail: detail}); err != nil {
		p.result.Warnings = append(p.result.Warnings, "the refusal is not in the history: "+err.Error())
	}
}

// refuseFor ends a proposal that cannot be merged, and records it as well.
func (p *proposal) refuseFor(ctx context.Context, g ground, err error) bool {
	p.result = refusedFor(p.edit, err)
	guard, _ := guardOf(g.tree, false)
	if err := p.begin(ctx, []string{}, guard); err != nil {
		p.result.Warnings = append(p.result.Warnings, "the refusal is not in the history: "+err.Error())

		return true
	}
	p.refuse(ctx, p.result.Reason, p.result.Detail)

	return true
}

// accept makes the edit durable; it reports false if another edit was quicker.
func (p *proposal) accept(ctx context.Context, g ground, merged *tree.Tree, verdict trial.Verdict) bool {
	h := p.holder
	if !p.claim(ctx) {
		return true
	}
	if err := h.rows.keep(ctx, g.record); err != nil {
		p.refuse(ctx, call.ReasonTableAway, err.Error())

		return true
	}
	record := Record{
		Ancestor: Ancestor{Edit: p.edit.ID, Author: p.edit.Author, At: time.Now()},
		Note:     p.edit.Note, Reason: verdict.Reason, Detail: verdict.Detail, Text: merged.Text(),
	}.After(g.record)
	err := h.rows.writeHead(ctx, record, g.etag)
	if err != nil {
		err = p.resolve(ctx, record, g.etag, err)
	}
	switch {
	case err == nil:
		p.accepted(ctx, g, record)
	case errors.Is(err, store.ErrConflict):
		return false
	case errors.Is(err, store.ErrUnknownEffect):
		p.result = Result{State: StateUnknown, Edit: p.edit.ID, Reason: call.ReasonTableAway, Detail: err.Error()}
	default:
		p.refuse(ctx, call.ReasonTableAway, err.Error())
	}

	return true
}

// claim touches the proposal's row: it fails if others hold the proposal for expired, as after a pause of this process.
func (p *proposal) claim(ctx context.Context) bool {
	now := time.Now()
	if _, err := p.row.proposal.Fire(trial.Event{Trigger: trial.TriggerAccept, Now: now, Revision: 1}); err != nil {
		p.result = Result{State: trial.StateExpired, Edit: p.edit.ID, Reason: trial.ReasonCoordinatorVanished, Detail: err.Error()}

		return false
	}
	row, err := p.holder.rows.write(ctx, p.row, p.row.proposal)
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

// resolve finds out whether a write took effect that was refused or not answered; nil means that it did.
func (p *proposal) resolve(ctx context.Context, record Record, etag string, lost error) error {
	rows := p.holder.rows
	for range resolveTries {
		if errors.Is(lost, store.ErrUnavailable) {
			return lost
		}
		head, present, err := rows.head(ctx)
		switch {
		case err != nil:
			if !sleep(ctx, resolvePause) {
				return lost
			}
		case head.holds(record):
			return nil
		case present != etag:
			return errors.Wrapf(store.ErrConflict, "revision %d of edit %s was quicker", head.Revision, head.Edit)
		default:
			if lost = rows.writeHead(ctx, record, etag); lost == nil {
				return nil
			}
		}
	}

	return lost
}

// accepted puts a durable revision into force and spreads it.
func (p *proposal) accepted(ctx context.Context, g ground, record Record) {
	p.holder.Adopt(ctx, record, "accepted here")
	p.result = Result{
		State: trial.StateAccepted, Edit: p.edit.ID, Revision: record.Revision, Reason: record.Reason, Detail: record.Detail,
		Merged: p.edit.Base != g.record.Revision, Changes: p.result.Changes,
	}
	if g.warning != "" {
		p.result.Warnings = append(p.result.Warnings, g.warning)
	}
	event := trial.Event{Trigger: trial.TriggerAccept, Reason: record.Reason, Detail: record.Detail, Revision: record.Revision}
	if err := p.fire(context.WithoutCancel(ctx), event); err != nil {
		p.result.Warnings = append(p.result.Warnings, "accepted, but the history still shows the trial: "+err.Error())
	}
}
