package load

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteTable prints the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }

	line("%s, %s, %s, seed %d, slots at 1/%d, capacity %.0f requests/s bound by %s",
		r.Name, r.Variant, r.Example, r.Seed, r.Scale, r.Capacity, r.Narrowest)
	line("phase\toffered/s\tgood/s\tgood share\tuseful slots\tvital share")
	for _, p := range r.Phases {
		line("%s\t%.0f\t%.0f\t%.4f\t%.3f\t%.4f", p.Phase, float64(p.Offered)/p.Seconds, p.GoodRate, share(p.Good, p.Offered), p.UsefulShare, p.ImportantShare)
	}
	line("")
	line("phase\tkind\tclass\toffered\tgood\tshare\ttries\trefused\tfailed\ttimeout\tcut\tp50\tp99")
	for _, k := range r.Kinds {
		line("%s\t%s\t%s\t%d\t%d\t%.4f\t%d\t%d\t%d\t%d\t%d\t%s\t%s", k.Phase, k.Kind, k.Class, k.Offered, k.Good, k.Share,
			k.Tries, k.Refused, k.Failed, k.Timeout, k.Cut, k.P50.Round(ms/10), k.P99.Round(ms/10))
	}
	line("")
	line("recovery\t%s", r.recoveryText())
	line("attempts per try\tmean %.2f, p99 %d, max %d", r.Attempts.Mean, r.Attempts.P99, r.Attempts.Max)
	line("wasted\t%.1f%% of slot time, %d executions", 100*r.WastedShare, r.WastedRuns)
	line("refusals\t%s", r.refusalText())
	line("broken promises\twrong %d, torn %d, notRun that ran %d, keys run twice %d, wrong at hops %d",
		r.Violations.Wrong, r.Violations.Torn, r.Violations.NotRunThatRan, r.Violations.RepeatedKeys, r.Violations.HopWrong)
	for _, broken := range r.Broken {
		line("\tnotRun that ran: %+v", broken)
	}
	if r.Dropped > 0 {
		line("dropped by the bench\t%d", r.Dropped)
	}

	return out.Flush()
}

func (r *Report) recoveryText() string {
	if !r.Recovered {
		return "not within the run"
	}

	return r.Recovery.String()
}

func (r *Report) refusalText() string {
	if len(r.Refusals) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(r.Refusals))
	for _, refusal := range r.Refusals {
		outcome := string(refusal.Outcome)
		if outcome == "" {
			outcome = "no outcome"
		}
		parts = append(parts, fmt.Sprintf("%s (%s) %d", refusal.Reason, outcome, refusal.Count))
	}

	return strings.Join(parts, ", ")
}
