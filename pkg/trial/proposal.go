package trial

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// State is one stage in the life of a proposal.
type State string

// States of a proposal; the last three are final.
const (
	StateProposed State = "proposed"
	StateOnTrial  State = "onTrial"
	StateAccepted State = "accepted"
	StateRefused  State = "refused"
	StateExpired  State = "expired"
)

// Final reports whether the state is an end.
func (s State) Final() bool {
	return s == StateAccepted || s == StateRefused || s == StateExpired
}

// Reasons of decisions about proposals.
const (
	ReasonGuardHeld           call.Reason = "guardHeld"
	ReasonGuardBroken         call.Reason = "guardBroken"
	ReasonNoTraffic           call.Reason = "noTraffic"
	ReasonUntested            call.Reason = "untested"
	ReasonOverloadElsewhere   call.Reason = "overloadElsewhere"
	ReasonWithinChance        call.Reason = "withinChance"
	ReasonConflict            call.Reason = "conflict"
	ReasonInvalid             call.Reason = "invalid"
	ReasonNoTrialNode         call.Reason = "noTrialNode"
	ReasonTrialBusy           call.Reason = "trialBusy"
	ReasonCoordinatorVanished call.Reason = "coordinatorVanished"
	ReasonOvertaken           call.Reason = "overtaken"
	ReasonUnchanged           call.Reason = "unchanged"
)

// Trigger is what moves a proposal to another state.
type Trigger string

// Triggers of a proposal.
const (
	TriggerBegin  Trigger = "begin"
	TriggerAccept Trigger = "accept"
	TriggerRefuse Trigger = "refuse"
	TriggerExpire Trigger = "expire"
)

// ErrForbidden is returned for an event that the state or the time does not allow.
var ErrForbidden = errors.New("proposal does not allow the event")

// Proposal is one edit of the settings and what became of it.
type Proposal struct {
	Edit   string `json:"edit"`
	Author string `json:"author"`
	Note   string `json:"note,omitempty"`
	// Base is the revision that the author started from.
	Base        uint64      `json:"base"`
	Coordinator string      `json:"coordinator"`
	State       State       `json:"state"`
	Reason      call.Reason `json:"reason,omitempty"`
	Detail      string      `json:"detail,omitempty"`
	// Changes are the settings that the edit changes, for the history.
	Changes []string `json:"changes"`
	// Revision is the number under which the edit was accepted, zero otherwise.
	Revision   uint64    `json:"revision,omitempty"`
	ProposedAt time.Time `json:"proposedAt"`
	// ExpiresAt is when the proposal expires unless it was decided.
	ExpiresAt time.Time `json:"until"`
	EndedAt   time.Time `json:"endedAt,omitzero"`
}

// New returns a proposal that expires at that time.
func New(edit, author, coordinator string, base uint64, now, until time.Time) Proposal {
	return Proposal{
		Edit: edit, Author: author, Coordinator: coordinator, Base: base,
		State: StateProposed, Changes: []string{}, ProposedAt: now, ExpiresAt: until,
	}
}

// WithChanges returns a copy that names the settings it changes.
func (p Proposal) WithChanges(changes []string) Proposal {
	p.Changes = changes

	return p
}

// WithNote returns a copy with the author's note.
func (p Proposal) WithNote(note string) Proposal {
	p.Note = note

	return p
}

// Event is one step in a proposal's life.
type Event struct {
	Trigger Trigger
	Now     time.Time
	Reason  call.Reason
	Detail  string
	// Revision is the accepted revision.
	Revision uint64
}

// Fire returns the proposal after the event, or an error that wraps ErrForbidden.
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

// proposalContextKey finds the proposal that the shared machine works on.
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

// beforeExpiry keeps a coordinator that was paused from going on with a trial that others hold for expired.
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
