package cmds

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/holder"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

func printStatus(out io.Writer, status holder.Status) {
	fmt.Fprintf(out, headerRevision+"%d", status.Revision)
	if status.Revision > 0 {
		fmt.Fprintf(out, ", edit %s by %s, %s", status.Edit, status.Author, status.At.Format(time.RFC3339))
	}
	fmt.Fprintln(out)
	if status.Trial != "" {
		fmt.Fprintf(out, headerTrial+"edit %s\n", status.Trial)
	}
	for _, line := range status.Degraded {
		fmt.Fprintf(out, headerDegraded+"%s\n", line)
	}
	fmt.Fprint(out, status.Text)
}

func table(out io.Writer) *tabwriter.Writer {
	const padding = 2

	return tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
}

func printEffective(out io.Writer, effective holder.EffectiveSettings) {
	fmt.Fprintf(out, "# %s, revision %d\n", effective.At, effective.Revision)
	w := table(out)
	for _, setting := range effective.Settings {
		line := ""
		if setting.Line > 0 {
			line = fmt.Sprintf(", line %d", setting.Line)
		}
		fmt.Fprintf(w, "%s\t%s\t%s%s\n", setting.Key, setting.Value, setting.Origin(), line)
	}
	_ = w.Flush()
}

func printPlan(out io.Writer, plan tree.Plan) {
	if len(plan.Steps) == 0 {
		fmt.Fprintln(out, "No changes.")

		return
	}
	w := table(out)
	for _, step := range plan.Steps {
		fmt.Fprintf(w, "%s\t%d of %d targets\n", step.Change, step.Targets, plan.Total)
	}
	_ = w.Flush()
	for _, near := range plan.NearBounds {
		fmt.Fprintf(out, "Near a rail: %s = %s, %s\n", near.Dotted, near.Value, near.Bound)
	}
	fmt.Fprintf(out, "%d changes touch %d of %d targets.\n", len(plan.Steps), plan.Touched, plan.Total)
}

func printResult(out io.Writer, result holder.Result) {
	fmt.Fprintf(out, "%s (%s)", result.State, result.Reason)
	if result.Revision > 0 {
		fmt.Fprintf(out, ": revision %d", result.Revision)
	}
	fmt.Fprintf(out, ", edit %s\n", result.Edit)
	if result.Merged {
		fmt.Fprintln(out, "Joined with an edit that was accepted meanwhile.")
	}
	for _, change := range result.Changes {
		fmt.Fprintf(out, "  %s\n", change)
	}
	if result.Detail != "" {
		fmt.Fprintln(out, result.Detail)
	}
	for _, warning := range result.Warnings {
		fmt.Fprintf(out, "Warning: %s\n", warning)
	}
}

// shownChanges is how many changes of a proposal the history shows people.
const shownChanges = 6

func printHistory(out io.Writer, history holder.History) {
	fmt.Fprintf(out, "Revision %d is in force.\n", history.Revision)
	if history.Detail != "" {
		fmt.Fprintf(out, "Proposals cannot be read: %s\n", history.Detail)
		for _, a := range history.Revisions {
			fmt.Fprintf(out, "%s  accepted  revision %d  %s  edit %s\n", a.At.Format(time.RFC3339), a.Revision, a.Author, a.Edit)
		}
	}
	for _, p := range history.Proposals {
		fmt.Fprintf(out, "%s  %s", p.ProposedAt.Format(time.RFC3339), p.State)
		if p.Revision > 0 {
			fmt.Fprintf(out, "  revision %d", p.Revision)
		}
		fmt.Fprintf(out, "  %s  base %d  %s  edit %s\n", p.Author, p.Base, p.Reason, p.Edit)
		if p.Note != "" {
			fmt.Fprintf(out, "    note: %s\n", p.Note)
		}
		for _, change := range p.Changes[:min(shownChanges, len(p.Changes))] {
			fmt.Fprintf(out, "    %s\n", change)
		}
		if more := len(p.Changes) - shownChanges; more > 0 {
			fmt.Fprintf(out, "    and %d more, see --json\n", more)
		}
		if p.Detail != "" {
			fmt.Fprintf(out, "    %s\n", p.Detail)
		}
	}
}
