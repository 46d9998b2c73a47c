package trial

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// State is the state of a proposal.
type State string

// States of a proposal; the last three are final.
const (
	StateProposed State = "proposed"
	StateOnTrial  State = "onTrial"
	StateAccepted State = "accepted"
	StateRefused  State = "refused"
	StateExpired  State = "expired"
)

// Final reports whether the state is final.
func (s State) Final() bool {
	return s == StateAccepted || s == StateRefused || s == StateExpired
}

// Reasons for decisions about proposals.
const (
	// ReasonGuardHeld: accepted, the trial met the guard. ReasonGuardBroken: refused, the proposal made it miss the guard.
	ReasonGuardHeld   call.Reason = "guardHeld"
	ReasonGuardBroken call.Reason = "guardBroken"
	// ReasonNoTraffic: refused for too few important requests. ReasonUntested: accepted in spite of too few of them.
	ReasonNoTraffic call.Reason = "noTraffic"
	ReasonUntested  call.Reason = "untested"
	// ReasonOverloadElsewhere: accepted, since the nodes without the proposal miss the guard as well.
	ReasonOverloadElsewhere call.Reason = "overloadElsewhere"
	// ReasonWithinChance: accepted, since the trial misses the guard but is not significantly worse than the control group.
	ReasonWithinChance call.Reason = "withinChance"
	// ReasonConflict: an edit accepted since the base changed the same settings. ReasonInvalid: the edit makes no valid tree.
	ReasonConflict call.Reason = "conflict"
	ReasonInvalid  call.Reason = "invalid"
	// ReasonNoTrialNode: no node could run the trial. ReasonTrialBusy: another proposal is being decided.
	ReasonNoTrialNode call.Reason = "noTrialNode"
	ReasonTrialBusy   call.Reason = "trialBusy"
	// ReasonCoordinatorVanished: the node that coordinates the trial failed to renew or decide it in time.
	ReasonCoordinatorVanished call.Reason = "coordinatorVanished"
	// ReasonOvertaken: another edit was accepted meanwhile. ReasonUnchanged: the edit changes nothing in the accepted tree.
	ReasonOvertaken call.Reason = "overtaken"
	ReasonUnchanged call.Reason = "unchanged"
)

// Trigger causes a transition between states.
type Trigger string

// Triggers of a proposal.
const (
	TriggerBegin  Trigger = "begin"
	TriggerAccept Trigger = "accept"
	TriggerRefuse Trigger = "refuse"
	TriggerExpire Trigger = "expire"
)

// ErrForbidden is returned for an event that is not allowed in the state of the proposal or at the time of the event.
var ErrForbidden = errors.New("proposal does not allow the event")

// Proposal is an edit of the settings, its state and the decision about it.
type Proposal struct {
	// Edit is the ID of the edit.
	Edit   string `json:"edit"`
	Author string `json:"author"`
	Note   string `json:"note,omitempty"`
	// Base is the revision that the edit is based on.
	Base uint64 `json:"base"`
	// Coordinator is the name of the node that runs the trial and decides about the proposal.
	Coordinator string      `json:"coordinator"`
	State       State       `json:"state"`
	Reason      call.Reason `json:"reason,omitempty"`
	Detail      string      `json:"detail,omitempty"`
	// Changes lists the settings that the edit changes, for the history.
	Changes []string `json:"changes"`
	// Revision is the revision that the accepted edit became, 0 otherwise.
	Revision   uint64    `json:"revision,omitempty"`
	ProposedAt time.Time `json:"proposedAt"`
	// ExpiresAt is the time at which the proposal expires unless it has been decided.
	ExpiresAt time.Time `json:"until"`
	EndedAt   time.Time `json:"endedAt,omitzero"`
}

// New returns a proposal in StateProposed that expires at until.
func New(edit, author, coordinator string, base uint64, now, until time.Time) Proposal {
	return Proposal{
		Edit: edit, Author: author, Coordinator: coordinator, Base: base,
		State: StateProposed, Changes: []string{}, ProposedAt: now, ExpiresAt: until,
	}
}

// WithChanges returns a copy with the list of settings that the edit changes.
func (p Proposal) WithChanges(changes []string) Proposal {
	p.Changes = changes

	return p
}

// WithNote returns a copy with the author's note.
func (p Proposal) WithNote(note string) Proposal {
	p.Note = note

	return p
}

// Event is a trigger with the data that the proposal records.
type Event struct {
	Trigger Trigger
	Now     time.Time
	Reason  call.Reason
	Detail  string
	// Revision is the revision that the edit becomes; TriggerAccept requires it.
	Revision uint64
}

// Fire returns the proposal after the event, or the unchanged proposal and an error that wraps ErrForbidden.
func (p Proposal) Fire(event Event) (Proposal, error) {
	next := p
	ctx := context.WithValue(context.Background(), proposalContextKey{}, &next)
	if err := machine.FireCtx(ctx, event.Trigger, event); err != nil {
		return p, errors.Wrapf(ErrForbidden, "%s while %s: %v", event.Trigger, p.State, err)
	}
	if event.Reason != "" {
		next.Reason, next.Detail = event.Reason, event.Detail
	}
	if next.State.Final() {
		next.EndedAt = event.Now
	}
	if next.State == StateAccepted {
		next.Revision = event.Revision
	}

	return next, nil
}

// proposalContextKey is the context key of the proposal on which the shared state machine operates.
type proposalContextKey struct{}

func proposalFrom(ctx context.Context) *Proposal {
	proposal, _ := ctx.Value(proposalContextKey{}).(*Proposal)

	return proposal
}

var machine = newMachine()

func newMachine() *stateless.StateMachine {
	m := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) { return proposalFrom(ctx).State, nil },
		func(ctx context.Context, state stateless.State) error {
			next, ok := state.(State)
			if !ok {
				return errors.Newf("no state: %v", state)
			}
			proposalFrom(ctx).State = next

			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(StateProposed).
		Permit(TriggerBegin, StateOnTrial, beforeExpiry).
		Permit(TriggerRefuse, StateRefused).
		Permit(TriggerExpire, StateExpired, expired)
	m.Configure(StateOnTrial).
		Permit(TriggerAccept, StateAccepted, beforeExpiry, hasRevision).
		Permit(TriggerRefuse, StateRefused).
		Permit(TriggerExpire, StateExpired, expired)

	return m
}

// beforeExpiry prevents a coordinator that was paused from continuing a trial that other nodes consider expired.
func beforeExpiry(ctx context.Context, args ...any) bool {
	event, ok := args[0].(Event)

	return ok && event.Now.Before(proposalFrom(ctx).ExpiresAt)
}

func expired(ctx context.Context, args ...any) bool {
	return !beforeExpiry(ctx, args...)
}

func hasRevision(_ context.Context, args ...any) bool {
	event, ok := args[0].(Event)

	return ok && event.Revision > 0
}
