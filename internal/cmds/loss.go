package cmds

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const (
	// maxLossRows is the maximum number of rows that are kept; further refusals are only counted.
	maxLossRows = 100_000
	// noBinding stands for the binding service of a refusal that names none.
	noBinding = "-"
)

// LossesCommand sums up the refusals in the logs of nodes by interval, kind and reason.
type LossesCommand struct {
	Interval time.Duration `help:"Length of the intervals." default:"2s"`
	File     []string      `arg:"" help:"Log of a node, - for standard input, may be repeated." placeholder:"FILE"`
}

// Validate refuses an interval that is not positive.
func (c LossesCommand) Validate() error {
	if c.Interval <= 0 {
		return errors.Newf("interval %s is not positive", c.Interval)
	}

	return nil
}

// Run reads the logs as streams and prints a row for each interval, kind and reason.
func (c LossesCommand) Run(env Env) error {
	found := newLosses(c.Interval)
	for _, name := range c.File {
		if err := c.read(env, name, found); err != nil {
			return err
		}
	}
	w := table(env.Out)
	fmt.Fprintln(w, "from\tservice\tkind\toutcome\treason\tcount\tbinding\tlevel\trank")
	for _, row := range found.sorted() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", row.from.Format(time.RFC3339Nano), row.service, row.kind, row.outcome, row.reason,
			row.count, row.binding, row.mean(row.levels), row.mean(row.ranks))
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print losses")
	}
	if found.leftOut > 0 {
		fmt.Fprintf(env.Err, "%d refusals are in no row: more than %d rows\n", found.leftOut, maxLossRows)
	}

	return nil
}

func (c LossesCommand) read(env Env, name string, into *losses) error {
	in, closeLog, err := openLog(env, name)
	if err != nil {
		return err
	}
	defer closeLog()
	refusals := func(text []byte) bool { return bytes.Contains(text, []byte(`"`+trace.StepRefuse+`"`)) }
	unreadable, err := scanDecisions(in, refusals, into.add)
	if err != nil {
		return errors.Wrapf(err, "read log %s", name)
	}
	if unreadable > 0 {
		fmt.Fprintf(env.Err, "%s: %d lines of refusals could not be read\n", name, unreadable)
	}

	return nil
}

// lossKey tells the rows of losses apart.
type lossKey struct {
	from          time.Time
	service, kind string
	outcome       call.Outcome
	reason        call.Reason
	// binding is the service whose admission level refused the requests, noBinding if it was something else.
	binding string
}

// lossRow counts the refusals of one key, and sums up the levels and ranks that were compared.
type lossRow struct {
	lossKey
	count         int
	levels, ranks float64
}

// mean formats the mean of a sum of levels or ranks, noBinding if none were compared.
func (r lossRow) mean(sum float64) string {
	if r.binding == noBinding {
		return noBinding
	}

	return strconv.FormatFloat(sum/float64(r.count), 'f', 2, 64)
}

// losses holds the refusals by key.
type losses struct {
	interval time.Duration
	rows     map[lossKey]*lossRow
	leftOut  int
}

func newLosses(interval time.Duration) *losses {
	return &losses{interval: interval, rows: map[lossKey]*lossRow{}}
}

// add counts the decision if it is a refusal.
func (l *losses) add(decision located) {
	if decision.Step != trace.StepRefuse {
		return
	}
	binding, level, rank := comparedLevel(decision.Detail)
	key := lossKey{
		from: decision.Time.UTC().Truncate(l.interval), service: decision.Service, kind: decision.Kind,
		outcome: decision.Outcome, reason: decision.Reason, binding: noBinding,
	}
	if decision.Reason == call.ReasonOverload && binding != "" {
		key.binding = binding
	}
	row := l.rows[key]
	if row == nil {
		if len(l.rows) >= maxLossRows {
			l.leftOut++

			return
		}
		row = &lossRow{lossKey: key}
		l.rows[key] = row
	}
	row.count++
	row.levels += level
	row.ranks += rank
}

// comparedLevel returns the binding service, its level and the request's rank from the detail of a refusal, an empty service if it names
// none.
func comparedLevel(detail string) (binding string, level, rank float64) {
	if _, err := fmt.Sscanf(detail, "rank %f, level %f of %s", &rank, &level, &binding); err != nil {
		return "", 0, 0
	}

	return binding, level, rank
}

// sorted returns the rows by time, the most frequent of an interval first.
func (l *losses) sorted() []lossRow {
	rows := make([]lossRow, 0, len(l.rows))
	for _, row := range l.rows {
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b lossRow) int {
		return cmp.Or(a.from.Compare(b.from), cmp.Compare(b.count, a.count), cmp.Compare(a.service, b.service), cmp.Compare(a.kind, b.kind),
			cmp.Compare(a.outcome, b.outcome), cmp.Compare(a.reason, b.reason), cmp.Compare(a.binding, b.binding))
	})

	return rows
}
