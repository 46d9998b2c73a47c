package cmds

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/holder"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// ErrNotAccepted is returned for an edit that is not in force.
var ErrNotAccepted = errors.New("edit was not accepted")

// ErrNoBase is returned for a file that does not say which revision it was made from.
var ErrNoBase = errors.New("the file does not name the revision it was made from, give --base REV")

// SettingsCommand shows and edits the settings tree over any node.
type SettingsCommand struct {
	Node string `help:"Operators' address of any node." placeholder:"IP:PORT" required:"" env:"PISTACHIOTACK_NODE"`
	JSON bool   `help:"Print JSON." name:"json"`

	Show   ShowCommand   `cmd:"" help:"Show the tree in force, or effective values with their origin."`
	Plan   PlanCommand   `cmd:"" help:"Show what a tree would change, for how many targets, and which rails are near."`
	Apply  ApplyCommand  `cmd:"" help:"Propose a whole tree made from a base revision."`
	Set    SetCommand    `cmd:"" help:"Propose one setting, for example: set service.alarm.deadline 1s."`
	Log    LogCommand    `cmd:"" help:"Show every proposal, who made it and what became of it."`
	Diff   DiffCommand   `cmd:"" help:"Show what differs between two revisions."`
	Revert RevertCommand `cmd:"" help:"Propose the tree of an earlier revision as a new one."`
}

// show prints the answer to a request as JSON, or by the function.
func (c *SettingsCommand) show(env Env, p page, into any, print func()) error {
	body, err := p.ask(env.Context, c.Node, into)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := fmt.Fprintf(env.Out, "%s\n", body)

		return err
	}
	print()

	return nil
}

// ShowCommand shows what is in force.
type ShowCommand struct {
	Effective string `help:"Show every effective value with its origin." placeholder:"PLACE/SERVICE/KIND"`
}

// Run prints the tree or the effective values.
func (c ShowCommand) Run(env Env, parent *SettingsCommand) error {
	if c.Effective == "" {
		var status holder.Status

		return parent.show(env, page{method: http.MethodGet, path: holder.PathStatus}, &status, func() { printStatus(env.Out, status) })
	}
	at := holder.ParseScope(c.Effective)
	query := url.Values{"place": {at.Place}, "service": {at.Service}, "kind": {at.Kind}}
	var effective holder.EffectiveSettings

	return parent.show(env, page{method: http.MethodGet, path: holder.PathEffective, query: query}, &effective, func() { printEffective(env.Out, effective) })
}

// PlanCommand compares a file with what is in force.
type PlanCommand struct {
	File string `arg:"" help:"Settings tree (TOML)." type:"existingfile"`
}

// Run prints the plan.
func (c PlanCommand) Run(env Env, parent *SettingsCommand) error {
	document, err := readDocument(c.File)
	if err != nil {
		return err
	}
	var plan tree.Plan
	request := page{method: http.MethodPost, path: holder.PathPlan, body: document.text}

	return document.locate(parent.show(env, request, &plan, func() { printPlan(env.Out, plan) }))
}

// Proposing is what all commands that edit have in common.
type Proposing struct {
	Author   string `help:"Who makes the edit, for the history." env:"USER" default:"unknown"`
	Note     string `help:"Why, for the history."`
	Untested bool   `help:"Accept the edit even if no important requests show its effect during the trial."`
}

func (p Proposing) query() url.Values {
	return url.Values{"author": {p.Author}, "note": {p.Note}, "untested": {strconv.FormatBool(p.Untested)}}
}

func (p Proposing) propose(env Env, parent *SettingsCommand, request page) error {
	request.method = http.MethodPost
	var result holder.Result
	if err := parent.show(env, request, &result, func() { printResult(env.Out, result) }); err != nil {
		return err
	}
	if len(result.Problems) > 0 {
		return result.Problems
	}
	if result.State != trial.StateAccepted {
		return errors.Wrapf(ErrNotAccepted, "%s, %s", result.State, result.Reason)
	}

	return nil
}

// ApplyCommand proposes a whole tree.
type ApplyCommand struct {
	Proposing
	File string  `arg:"" help:"Settings tree (TOML)." type:"existingfile"`
	Base *uint64 `help:"Revision that the file was made from; left out, the one that the file's first line names, as settings show prints it." placeholder:"REV"`
}

// Run proposes the file and waits until it is decided.
func (c ApplyCommand) Run(env Env, parent *SettingsCommand) error {
	document, err := readDocument(c.File)
	if err != nil {
		return err
	}
	base := document.base
	switch {
	case c.Base != nil:
		base = *c.Base
	case !document.based:
		return ErrNoBase
	}
	query := c.query()
	query.Set("base", strconv.FormatUint(base, 10))

	return document.locate(c.propose(env, parent, page{path: holder.PathApply, query: query, body: document.text}))
}

// SetCommand proposes one setting.
type SetCommand struct {
	Proposing
	Path  string `arg:"" help:"Dotted key, for example service.alarm.kind.raise.deadline."`
	Value string `arg:"" optional:"" help:"Value; left out, the setting is inherited again."`
}

// Run proposes the setting and waits until it is decided.
func (c SetCommand) Run(env Env, parent *SettingsCommand) error {
	query := c.query()
	query.Set("path", c.Path)
	query.Set("value", c.Value)

	return c.propose(env, parent, page{path: holder.PathSet, query: query})
}

// RevertCommand proposes an earlier tree.
type RevertCommand struct {
	Proposing
	Revision uint64 `arg:"" help:"Revision whose tree is wanted again."`
}

// Run proposes the earlier tree and waits until it is decided.
func (c RevertCommand) Run(env Env, parent *SettingsCommand) error {
	query := c.query()
	query.Set("revision", strconv.FormatUint(c.Revision, 10))

	return c.propose(env, parent, page{path: holder.PathRevert, query: query})
}

// LogCommand shows the history.
type LogCommand struct{}

// Run prints every proposal, the newest first.
func (c LogCommand) Run(env Env, parent *SettingsCommand) error {
	var history holder.History

	return parent.show(env, page{method: http.MethodGet, path: holder.PathLog}, &history, func() { printHistory(env.Out, history) })
}

// DiffCommand compares two revisions.
type DiffCommand struct {
	From uint64 `arg:"" name:"a" help:"Revision to compare from."`
	To   uint64 `arg:"" name:"b" help:"Revision to compare to."`
}

// Run prints what differs.
func (c DiffCommand) Run(env Env, parent *SettingsCommand) error {
	query := url.Values{"a": {strconv.FormatUint(c.From, 10)}, "b": {strconv.FormatUint(c.To, 10)}}
	var difference holder.Difference

	return parent.show(env, page{method: http.MethodGet, path: holder.PathDiff, query: query}, &difference, func() {
		for _, change := range difference.Changes {
			fmt.Fprintln(env.Out, change)
		}
	})
}
