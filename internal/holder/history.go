package holder

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/tree"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// History holds the number of the revision in force and the proposals stored in the table, newest first.
type History struct {
	Revision  uint64           `json:"revision"`
	Proposals []trial.Proposal `json:"proposals"`
	// Revisions lists the revision in force and its recent ancestors, newest first. They come from the node's memory, so they
	// are available without the table.
	Revisions []Ancestor `json:"line"`
	// Detail is the reason if the proposals could not be read.
	Detail string `json:"detail,omitempty"`
}

// History returns the proposals, and marks those as expired whose coordinator failed to decide in time.
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
		history.Proposals = append(history.Proposals, h.currentState(ctx, row, record, now))
	}

	return history
}

// currentState returns the proposal with its current state. The row of an accepted proposal may still show the trial, since it
// is written after the head row; the accepted revisions show that it was accepted.
func (h *Holder) currentState(ctx context.Context, row proposalRow, record Record, now time.Time) trial.Proposal {
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

	return h.rows.expireProposal(ctx, row, now).proposal
}

// Status describes the accepted revision of this node, the trial on it, and degraded conditions.
type Status struct {
	Node     string    `json:"node"`
	Revision uint64    `json:"revision"`
	Edit     string    `json:"edit"`
	Author   string    `json:"author"`
	At       time.Time `json:"at,omitzero"`
	Text     string    `json:"text"`
	// Trial is the ID of the edit on trial on this node, empty for none.
	Trial string `json:"trial,omitempty"`
	// Degraded describes degraded conditions for the operator.
	Degraded []string `json:"degraded"`
}

// Status returns the status of this node.
func (h *Holder) Status() Status {
	current := h.NodeState()
	record := current.Record()

	return Status{
		Node: h.options.Node, Revision: record.Revision, Edit: record.Edit, Author: record.Author, At: record.At,
		Text: record.Text, Trial: current.Trial(), Degraded: h.Degraded(),
	}
}

// Degraded describes degraded conditions: a table that is unavailable, or that holds another revision than the one in force. The
// result is empty, not nil, if there are none.
func (h *Holder) Degraded() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	degraded := []string{}
	revision := h.current.Record().Revision
	if away := h.tableView.unavailableSince; !away.IsZero() {
		degraded = append(degraded, fmt.Sprintf("table away for %s, running revision %d from memory and peers", time.Since(away).Round(time.Second), revision))
	}
	if older := h.tableView.staleHead; older != nil {
		degraded = append(degraded, fmt.Sprintf("table holds revision %d (edit %s), revision %d stays in force", older.Revision, older.Edit, revision))
	}

	return degraded
}

// Plan compares the tree in the text with the accepted one, for all places and services of the nodes known to this one.
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

// ParseScope parses a path PLACE/SERVICE/KIND; parts may be empty, and trailing parts may be missing.
func ParseScope(text string) tree.Path {
	parts := append(strings.SplitN(text, "/", 3), "", "")

	return tree.Path{Place: parts[0], Service: parts[1], Kind: parts[2]}
}
