package holder

import (
	"context"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/admin"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// Paths of the operators' endpoints.
const (
	PathStatus    = "/settings"
	PathEffective = "/settings/effective"
	PathPlan      = "/settings/plan"
	PathApply     = "/settings/apply"
	PathSet       = "/settings/set"
	PathLog       = "/settings/log"
	PathDiff      = "/settings/diff"
	PathRevert    = "/settings/revert"
)

// ErrorResponse is the body of a response to a request that failed; Problems lists the faults of an invalid tree or path.
type ErrorResponse struct {
	Error    string        `json:"error"`
	Problems tree.Problems `json:"problems,omitempty"`
}

// Routes returns the endpoints for the operators' listener.
func (h *Holder) Routes() []admin.Route {
	return []admin.Route{
		{Method: consts.MethodGet, Path: PathStatus, Handle: func(_ context.Context, c *app.RequestContext) { c.JSON(consts.StatusOK, h.Status()) }},
		{Method: consts.MethodGet, Path: PathEffective, Handle: h.handleEffective},
		{Method: consts.MethodPost, Path: PathPlan, Handle: h.handlePlan},
		{Method: consts.MethodPost, Path: PathApply, Handle: h.handleApply},
		{Method: consts.MethodPost, Path: PathSet, Handle: h.handleSet},
		{Method: consts.MethodGet, Path: PathLog, Handle: func(ctx context.Context, c *app.RequestContext) { c.JSON(consts.StatusOK, h.History(ctx)) }},
		{Method: consts.MethodGet, Path: PathDiff, Handle: h.handleDiff},
		{Method: consts.MethodPost, Path: PathRevert, Handle: h.handleRevert},
	}
}

// writeError responds with status 400 to an invalid tree or an unknown revision, and with 503 to other errors.
func writeError(c *app.RequestContext, err error) {
	response := ErrorResponse{Error: err.Error()}
	status := consts.StatusBadRequest
	if !errors.As(err, &response.Problems) && !errors.Is(err, ErrUnknownRevision) {
		status = consts.StatusServiceUnavailable
	}
	c.JSON(status, response)
}

// handleEffective returns the effective settings at the path in the query.
func (h *Holder) handleEffective(_ context.Context, c *app.RequestContext) {
	path := tree.Path{Place: c.Query("place"), Service: c.Query("service"), Kind: c.Query("kind")}
	current := h.NodeState()
	if problem := current.accepted.Tree().CheckPath(path); problem != nil {
		writeError(c, tree.Problems{*problem})

		return
	}
	c.JSON(consts.StatusOK, EffectiveSettings{Revision: current.Record().Revision, At: path, Settings: current.accepted.Tree().Effective(path)})
}

// EffectiveSettings is the response of PathEffective: the settings in force at a place, service and kind, inherited ones
// included.
type EffectiveSettings struct {
	Revision uint64         `json:"revision"`
	At       tree.Path      `json:"at"`
	Settings []tree.Setting `json:"settings"`
}

// handlePlan returns the effects that the tree in the body would have, without proposing it.
func (h *Holder) handlePlan(_ context.Context, c *app.RequestContext) {
	plan, err := h.Plan(string(c.Request.Body()))
	if err != nil {
		writeError(c, err)

		return
	}
	c.JSON(consts.StatusOK, plan)
}

// handleDiff returns the changes from revision a to revision b.
func (h *Holder) handleDiff(ctx context.Context, c *app.RequestContext) {
	from, err := h.treeAtRevision(ctx, c.Query("a"))
	if err != nil {
		writeError(c, err)

		return
	}
	to, err := h.treeAtRevision(ctx, c.Query("b"))
	if err != nil {
		writeError(c, err)

		return
	}
	c.JSON(consts.StatusOK, Difference{Changes: tree.Diff(from, to)})
}

// Difference is the response of PathDiff: the changes from one revision to another.
type Difference struct {
	Changes []tree.Change `json:"changes"`
}

// treeAtRevision returns the tree of the revision whose number is given as text.
func (h *Holder) treeAtRevision(ctx context.Context, text string) (*tree.Tree, error) {
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, errors.Wrapf(ErrUnknownRevision, "%q", text)
	}

	return h.TreeAt(ctx, revision)
}

// editFromQuery returns an edit with the fields that the apply, set and revert endpoints have in common.
func editFromQuery(c *app.RequestContext) Edit {
	return Edit{
		ID: c.Query("edit"), Author: c.Query("author"), Note: c.Query("note"), Untested: c.Query("untested") == "true",
	}
}

// handleApply proposes the tree in the body, which the operator made from revision base.
func (h *Holder) handleApply(ctx context.Context, c *app.RequestContext) {
	edit := editFromQuery(c)
	base, err := strconv.ParseUint(c.Query("base"), 10, 64)
	if err != nil {
		writeError(c, errors.Wrapf(ErrUnknownRevision, "base %q", c.Query("base")))

		return
	}
	edit.Base, edit.Text = base, string(c.Request.Body())
	h.respondToEdit(ctx, c, edit)
}

// handleSet proposes the tree in force with one changed setting.
func (h *Holder) handleSet(ctx context.Context, c *app.RequestContext) {
	edit := editFromQuery(c)
	current := h.NodeState()
	wanted, err := current.accepted.Tree().Set(c.Query("path"), c.Query("value"))
	if err != nil {
		writeError(c, err)

		return
	}
	edit.Base, edit.Text = current.Record().Revision, wanted.Text()
	h.respondToEdit(ctx, c, edit)
}

// handleRevert proposes the tree of an earlier revision as a new one.
func (h *Holder) handleRevert(ctx context.Context, c *app.RequestContext) {
	edit := editFromQuery(c)
	wanted, err := h.treeAtRevision(ctx, c.Query("revision"))
	if err != nil {
		writeError(c, err)

		return
	}
	edit.Base, edit.Text = h.Record().Revision, wanted.Text()
	h.respondToEdit(ctx, c, edit)
}

// respondToEdit proposes the edit and responds with the result: status 200 if it was accepted, 400 if it is invalid, 503 if the
// table is unavailable and 409 otherwise.
func (h *Holder) respondToEdit(ctx context.Context, c *app.RequestContext, edit Edit) {
	result := h.Propose(ctx, edit)
	status := consts.StatusConflict
	switch {
	case result.State == trial.StateAccepted:
		status = consts.StatusOK
	case result.Reason == trial.ReasonInvalid:
		status = consts.StatusBadRequest
	case result.Reason == call.ReasonTableAway:
		status = consts.StatusServiceUnavailable
	}
	c.JSON(status, result)
}
