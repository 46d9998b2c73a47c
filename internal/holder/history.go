package holder

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/tree"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// History is every proposal that the table keeps, the newest first.
type History struct {
	Revision  uint64           `json:"revision"`
	Proposals []trial.Proposal `json:"proposals"`
	// Revisions names the revisions that led to the one in force, as far as this node knows; it needs no table.
	Revisions []Ancestor `json:"line"`
	// Detail says why proposals are missing.
	Detail string `json:"detail,omitempty"`
}

// History lists proposals, and marks those as expired whose coordinator vanished.
func (h *Holder) History(ctx context.Context) History {
	record := h.Record()
	history := History{Revision: record.Revision, Proposals: []trial.Proposal{}, Revisions: []Ancestor{}}
	if record.Revision > 0 {
		history.Revisions = append([]Ancestor{record.Ancestor}, record.Line...)
	}
	if h.rows == nil {
		history.Detail = "no platform in the settings of this node"

		return history
	}
	rows, err := h.rows.proposals(ctx)
	if err != nil {
		history.Detail = err.Error()

		return history
	}
	now := time.Now()
	for _, row := range rows {
		history.Proposals = append(history.Proposals, h.settle(ctx, row, record, now))
	}

	return history
}

// settle shows what became of a proposal: the line of revisions is right where the proposal's own row lags.
func (h *Holder) settle(ctx context.Context, row proposalRow, record Record, now time.Time) trial.Proposal {
	p := row.proposal
	if p.State == trial.StateAccepted || p.State == trial.StateRefused {
		return p
	}
	for _, ancestor := range append([]Ancestor{record.Ancestor}, record.Line...) {
		if ancestor.Edit == p.Edit {
			p.State, p.Revision, p.EndedAt = trial.StateAccepted, ancestor.Revision, ancestor.At

			return p
		}
	}
	if now.Before(p.ExpiresAt) || p.State.Final() {
		return p
	}

	return h.rows.expire(ctx, row, now).proposal
}

// Status is what this node holds and what an operator should know about it.
type Status struct {
	Node     string    `json:"node"`
	Revision uint64    `json:"revision"`
	Edit     string    `json:"edit"`
	Author   string    `json:"author"`
	At       time.Time `json:"at,omitzero"`
	Text     string    `json:"text"`
	// Trial is the edit that acts on this node on trial.
	Trial string `json:"trial,omitempty"`
	// Degraded says in words what is not as it should be.
	Degraded []string `json:"degraded"`
}

// Status returns what this node holds.
func (h *Holder) Status() Status {
	current := h.NodeState()
	record := current.Record()

	return Status{
		Node: h.options.Node, Revision: record.Revision, Edit: record.Edit, Author: record.Author, At: record.At,
		Text: record.Text, Trial: current.Trial(), Degraded: h.Degraded(),
	}
}

// Degraded says in words what is not as it should be, empty if nothing.
func (h *Holder) Degraded() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	degraded := []string{}
	revision := h.current.Record().Revision
	if away := h.health.awaySince; !away.IsZero() {
		degraded = append(degraded, fmt.Sprintf("table away for %s, running revision %d from memory and peers", time.Since(away).Round(time.Second), revision))
	}
	if older := h.health.older; older != nil {
		degraded = append(degraded, fmt.Sprintf("table holds revision %d (edit %s), revision %d stays in force", older.Revision, older.Edit, revision))
	}

	return degraded
}

// Plan compares a tree's text with what is in force, over the targets that this node knows.
func (h *Holder) Plan(text string) (tree.Plan, error) {
	wanted, err := tree.Parse(text)
	if err != nil {
		return tree.Plan{}, err
	}
	var targets []tree.Target
	for _, entry := range h.fleet.All() {
		if callable(entry) && entry.Service != "" {
			targets = append(targets, tree.Target{Place: entry.DataCentre, Service: entry.Service})
		}
	}

	return tree.NewPlan(h.NodeState().accepted.Tree(), wanted, targets), nil
}

// ParseScope reads PLACE/SERVICE/KIND, of which later parts may be missing and parts may be empty.
func ParseScope(text string) tree.Path {
	parts := append(strings.SplitN(text, "/", 3), "", "")

	return tree.Path{Place: parts[0], Service: parts[1], Kind: parts[2]}
}
