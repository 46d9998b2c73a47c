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

// Paths of the operators' pages.
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

// ErrorResponse is the body of an answer that is not what was asked for.
type ErrorResponse struct {
	Error    string        `json:"error"`
	Problems tree.Problems `json:"problems,omitempty"`
}

// Routes returns the pages for the operators' listener.
func (h *Holder) Routes() []admin.Route {
	return []admin.Route{
		{Method: consts.MethodGet, Path: PathStatus, Handle: func(_ context.Context, c *app.RequestContext) { c.JSON(consts.StatusOK, h.Status()) }},
		{Method: consts.MethodGet, Path: PathEffective, Handle: h.showEffective},
		{Method: consts.MethodPost, Path: PathPlan, Handle: h.showPlan},
		{Method: consts.MethodPost, Path: PathApply, Handle: h.apply},
		{Method: consts.MethodPost, Path: PathSet, Handle: h.set},
		{Method: consts.MethodGet, Path: PathLog, Handle: func(ctx context.Context, c *app.RequestContext) { c.JSON(consts.StatusOK, h.History(ctx)) }},
		{Method: consts.MethodGet, Path: PathDiff, Handle: h.showDiff},
		{Method: consts.MethodPost, Path: PathRevert, Handle: h.revert},
	}
}

func fail(c *app.RequestContext, err error) {
	fault := ErrorResponse{Error: err.Error()}
	status := consts.StatusBadRequest
	if !errors.As(err, &fault.Problems) && !errors.Is(err, ErrUnknownRevision) {
		status = consts.StatusServiceUnavailable
	}
	c.JSON(status, fault)
}

func (h *Holder) showEffective(_ context.Context, c *app.RequestContext) {
	at := tree.Path{Place: c.Query("place"), Service: c.Query("service"), Kind: c.Query("kind")}
	current := h.NodeState()
	if problem := current.accepted.Tree().CheckPath(at); problem != nil {
		fail(c, tree.Problems{*problem})

		return
	}
	c.JSON(consts.StatusOK, EffectiveSettings{Revision: current.Record().Revision, At: at, Settings: current.accepted.Tree().Effective(at)})
}

// EffectiveSettings is the answer to a question for effective settings.
type EffectiveSettings struct {
	Revision uint64         `json:"revision"`
	At       tree.Path      `json:"at"`
	Settings []tree.Setting `json:"settings"`
}

func (h *Holder) showPlan(_ context.Context, c *app.RequestContext) {
	plan, err := h.Plan(string(c.Request.Body()))
	if err != nil {
		fail(c, err)

		return
	}
	c.JSON(consts.StatusOK, plan)
}

func (h *Holder) showDiff(ctx context.Context, c *app.RequestContext) {
	from, err := h.treeOf(ctx, c.Query("a"))
	if err != nil {
		fail(c, err)

		return
	}
	to, err := h.treeOf(ctx, c.Query("b"))
	if err != nil {
		fail(c, err)

		return
	}
	c.JSON(consts.StatusOK, Difference{Changes: tree.Diff(from, to)})
}

// Difference is the answer to a question for what differs between two revisions.
type Difference struct {
	Changes []tree.Change `json:"changes"`
}

func (h *Holder) treeOf(ctx context.Context, text string) (*tree.Tree, error) {
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, errors.Wrapf(ErrUnknownRevision, "%q", text)
	}

	return h.TreeAt(ctx, revision)
}

// editOf reads what all kinds of edit have in common.
func editOf(c *app.RequestContext) Edit {
	return Edit{
		ID: c.Query("edit"), Author: c.Query("author"), Note: c.Query("note"), Untested: c.Query("untested") == "true",
	}
}

func (h *Holder) apply(ctx context.Context, c *app.RequestContext) {
	edit := editOf(c)
	base, err := strconv.ParseUint(c.Query("base"), 10, 64)
	if err != nil {
		fail(c, errors.Wrapf(ErrUnknownRevision, "base %q", c.Query("base")))

		return
	}
	edit.Base, edit.Text = base, string(c.Request.Body())
	h.answer(ctx, c, edit)
}

func (h *Holder) set(ctx context.Context, c *app.RequestContext) {
	edit := editOf(c)
	current := h.NodeState()
	wanted, err := current.accepted.Tree().Set(c.Query("path"), c.Query("value"))
	if err != nil {
		fail(c, err)

		return
	}
	edit.Base, edit.Text = current.Record().Revision, wanted.Text()
	h.answer(ctx, c, edit)
}

// revert proposes the tree of an earlier revision as a new one.
func (h *Holder) revert(ctx context.Context, c *app.RequestContext) {
	edit := editOf(c)
	wanted, err := h.treeOf(ctx, c.Query("revision"))
	if err != nil {
		fail(c, err)

		return
	}
	edit.Base, edit.Text = h.Record().Revision, wanted.Text()
	h.answer(ctx, c, edit)
}

func (h *Holder) answer(ctx context.Context, c *app.RequestContext, edit Edit) {
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
