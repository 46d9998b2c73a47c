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
	"github.com/pistachiotack/pistachiotack/internal/trace"
)

const operatorTimeout = 5 * time.Second

// ErrOperator is returned when a node's operators' listener gives no usable answer.
var ErrOperator = errors.New("operators' listener gave no usable answer")

// ExplainCommand collects the decisions about one ID over nodes.
type ExplainCommand struct {
	ID   string   `arg:"" help:"Operation or root ID, as in Pistachiotack-Operation."`
	Node []string `help:"Operators' address of a node, may be repeated." placeholder:"IP:PORT" required:""`
	JSON bool     `help:"Print JSON lines." name:"json"`
}

// Run prints the decisions of all named nodes in the order of their time.
func (c ExplainCommand) Run(env Env) error {
	var all []trace.Decision
	for _, address := range c.Node {
		var explanation admin.Explanation
		if err := askOperator(env.Context, address, "/explain/"+url.PathEscape(c.ID), &explanation); err != nil {
			return err
		}
		all = append(all, explanation.Decisions...)
	}
	slices.SortStableFunc(all, func(a, b trace.Decision) int { return a.Time.Compare(b.Time) })
	for _, decision := range all {
		if err := c.print(env.Out, decision); err != nil {
			return err
		}
	}

	return nil
}

func (c ExplainCommand) print(out io.Writer, d trace.Decision) error {
	if c.JSON {
		return json.NewEncoder(out).Encode(d)
	}
	_, err := fmt.Fprintf(out, "%s %-8s %-12s %-10s chosen=%s outcome=%s reason=%s rank=%d took=%s revision=%d %s\n",
		d.Time.Format(time.RFC3339Nano), d.Step, d.Service, d.Kind, d.Chosen, d.Outcome, d.Reason, d.Rank, d.Took, d.Revision, d.Detail)

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
