package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/procs"
)

type latencyCommand struct {
	Rate   float64       `help:"Calls a second through the nodes, and as many direct ones." default:"2000"`
	Work   time.Duration `help:"Service time of the backend server." default:"10ms"`
	Time   time.Duration `help:"Time of the paired run, and of the closed loop." default:"10s"`
	Loop   int           `help:"Callers in the closed loop." default:"32"`
	Seed   uint64        `help:"Seed of the arrivals." default:"1"`
	Policy string        `help:"Policy of the nodes." enum:"adaptive,baseline" default:"adaptive"`
	Log    bool          `help:"Write the decision log." default:"true" negatable:""`
}

// Run measures the paired run, then the closed loop.
func (l *latencyCommand) Run(ctx context.Context) error {
	defer procs.RemoveBinary()
	binary, err := procs.Binary(ctx)
	if err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "pistachiotack-bench-")
	if err != nil {
		return errors.Wrap(err, "make directory")
	}
	defer func() { _ = os.RemoveAll(directory) }()

	result, err := procs.MeasureLatency(ctx, procs.LatencyOptions{
		Binary: binary, Directory: directory, Policy: l.Policy, Decisions: l.Log,
		Rate: l.Rate, Work: l.Work, Time: l.Time, Loop: l.Loop, Seed: l.Seed,
	})
	if err != nil {
		return err
	}

	return l.print(result)
}

func (l *latencyCommand) print(r *procs.Latency) error {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	line("%d cores, %s, %s, seed %d, policy %s, decision log %t",
		runtime.NumCPU(), runtime.Version(), time.Now().UTC().Format(time.RFC3339), l.Seed, l.Policy, l.Log)
	line("open loop, %.0f calls/s each way\tcalls\tfailed\tp50\tp90\tp99\tp99.9", l.Rate)
	for _, way := range []procs.Way{r.Direct, r.Through} {
		line("%s\t%d\t%d\t%s\t%s\t%s\t%s", way.Name, way.Calls, way.Failed, way.P50, way.P90, way.P99, way.P999)
	}
	line("added\t\t\t%s\t%s\t%s\t%s", r.Through.P50-r.Direct.P50, r.Through.P90-r.Direct.P90, r.Through.P99-r.Direct.P99, r.Through.P999-r.Direct.P999)
	line("closed loop, %d callers\tcalls/s\tfailed\tp50\tp90\tp99\tp99.9", l.Loop)
	for _, way := range []procs.Way{r.LoopDirect, r.LoopThrough} {
		line("%s\t%.0f\t%d\t%s\t%s\t%s\t%s", way.Name, way.Rate, way.Failed, way.P50, way.P90, way.P99, way.P999)
	}
	line("node\tCPU per call (open loop)\tCPU per call (closed loop)\tresident at rest\tafter load\tpeak")
	for _, node := range r.Nodes {
		line("%s\t%s\t%s\t%.1f MB\t%.1f MB\t%.1f MB", node.Name, node.OpenCPU, node.LoopCPU, megabytes(node.Rest), megabytes(node.After), megabytes(node.Peak))
	}

	return errors.Wrap(out.Flush(), "print latency")
}

func megabytes(bytes int64) float64 {
	return float64(bytes) / 1e6
}
