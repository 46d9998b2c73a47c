package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/admin"
)

const operatorTimeout = 5 * time.Second

// ErrOperator is returned when a node's operators' listener gives no usable answer.
var ErrOperator = errors.New("operators' listener gave no usable answer")

// ExplainCommand collects the decisions about one ID over nodes and logs.
type ExplainCommand struct {
	ID   string   `arg:"" help:"ID of an operation, of its root or of a request."`
	Node []string `help:"Operators' address of a node, may be repeated." placeholder:"IP:PORT"`
	File []string `help:"Log of a node, - for standard input, may be repeated." placeholder:"FILE"`
	JSON bool     `help:"Print JSON lines." name:"json"`
}

// Validate refuses a command line that names nothing to look in.
func (c ExplainCommand) Validate() error {
	if len(c.Node)+len(c.File) == 0 {
		return errors.New("name a node with --node or a log with --file")
	}

	return nil
}

// Run prints the decisions of all named nodes and logs in the order of their time.
func (c ExplainCommand) Run(env Env) error {
	var all []located
	for _, address := range c.Node {
		var explanation admin.Explanation
		if err := askOperator(env.Context, address, "/explain/"+url.PathEscape(c.ID), &explanation); err != nil {
			return err
		}
		for _, decision := range explanation.Decisions {
			all = append(all, located{Node: address, Decision: decision})
		}
	}
	for _, name := range c.File {
		found, err := c.search(env, name)
		if err != nil {
			return err
		}
		all = append(all, found...)
	}
	slices.SortStableFunc(all, func(a, b located) int { return a.Time.Compare(b.Time) })
	for _, decision := range all {
		if err := c.print(env.Out, decision); err != nil {
			return err
		}
	}

	return nil
}

// search returns the decisions about the ID in a log, and says on standard error how many lines of decisions it could not read.
func (c ExplainCommand) search(env Env, name string) ([]located, error) {
	in, closeLog, err := openLog(env, name)
	if err != nil {
		return nil, err
	}
	defer closeLog()
	found, unreadable, err := searchLog(in, c.ID)
	if err != nil {
		return nil, errors.Wrapf(err, "read log %s", name)
	}
	if unreadable > 0 {
		fmt.Fprintf(env.Err, "%s: %d lines of decisions about %s could not be read\n", name, unreadable, c.ID)
	}

	return found, nil
}

func (c ExplainCommand) print(out io.Writer, d located) error {
	if c.JSON {
		return json.NewEncoder(out).Encode(d)
	}
	_, err := fmt.Fprintf(out, "%s %s %-8s %-12s %-10s chosen=%s outcome=%s reason=%s rank=%d took=%s revision=%d %s\n",
		d.Time.Format(time.RFC3339Nano), d.Node, d.Step, d.Service, d.Kind, d.Chosen, d.Outcome, d.Reason, d.Rank, d.Elapsed, d.Revision, d.Detail)

	return err
}

// askOperator gets a JSON page from a node's operators' listener.
func askOperator(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrapf(err, "ask %s", address)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "ask %s", address)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrOperator, "%s answers %s", address, answer.Status)
	}

	return errors.Wrapf(json.NewDecoder(answer.Body).Decode(into), "read answer of %s", address)
}
