package demo

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/load"
	"github.com/pistachiotack/pistachiotack/internal/mesh"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Options choose what the demo runs.
type Options struct {
	Example string
	Serve   bool
	Seed    uint64
}

// The load of the demo, as shares of the fleet's capacity.
const (
	calmShare  = 0.6
	surgeShare = 3.0
	calmTime   = 4 * time.Second
	surgeTime  = 5 * time.Second
	afterTime  = 6 * time.Second
)

// Run starts the example, puts a surge on it and prints what became of the requests.
func Run(ctx context.Context, out io.Writer, examples fs.FS, options Options) error {
	fleet, example, stop, err := start(ctx, examples, options)
	if err != nil {
		return err
	}
	defer stop()
	capacity, narrowest := example.Capacity()
	fmt.Fprintf(out, "%s: %d nodes, each beside its backend server; slots at 1/%d of full size; capacity %.0f requests/s, bound by %s\n",
		example.Name, len(fleet.Nodes), example.Scale, capacity, narrowest)
	fmt.Fprintf(out, "%s at %.1f, %s at %.1f, %s at %.1f times the capacity\n\n", calmTime, calmShare, surgeTime, surgeShare, afterTime, calmShare)
	report, err := load.Run(ctx, plan(fleet, example, options.Seed, out))
	if err != nil {
		return errors.Wrap(err, "run the load")
	}
	fmt.Fprintln(out)
	if err = report.WriteTable(out); err != nil {
		return errors.Wrap(err, "print the report")
	}
	if options.Serve {
		printCalls(out, fleet, example)
		<-ctx.Done()
	}

	return nil
}

func start(ctx context.Context, examples fs.FS, options Options) (*mesh.Mesh, load.Example, func(), error) {
	example, err := load.FindExample(options.Example)
	if err != nil {
		return nil, example, nil, err
	}
	text, err := fs.ReadFile(examples, "examples/"+options.Example+"/tree.toml")
	if err != nil {
		return nil, example, nil, errors.Wrap(err, "read example")
	}
	settings, err := tree.Parse(string(text))
	if err != nil {
		return nil, example, nil, errors.Wrap(err, "parse example")
	}
	fleet, stop, err := mesh.New(ctx, mesh.Options{Example: example, Snapshot: tree.NewSnapshot(0, settings), Seed: options.Seed})

	return fleet, example, stop, err
}

func plan(fleet *mesh.Mesh, example load.Example, seed uint64, out io.Writer) load.Plan {
	capacity, _ := example.Capacity()

	return load.Plan{
		Name:    "demo",
		Variant: "adaptive",
		Seed:    seed,
		Example: example,
		Phases: []load.Phase{
			{Name: "before", Time: calmTime, Rate: calmShare * capacity},
			{Name: "surge", Time: surgeTime, Rate: surgeShare * capacity},
			{Name: "after", Time: afterTime, Rate: calmShare * capacity},
		},
		Manners: []load.Manner{load.MannerPatient, load.MannerPatient, load.MannerPatient},
		Picker:  fleet.Entries(),
		Ledger:  fleet.Ledger,
		Prefix:  "demo",
		Progress: func(point load.Point) {
			fmt.Fprintf(out, "%5.1f s  offered %4d  good %4d  important %3d of %3d\n",
				point.Seconds, point.Offered, point.Good, point.ImportantGood, point.ImportantOffered)
		},
	}
}

func printCalls(out io.Writer, fleet *mesh.Mesh, example load.Example) {
	fmt.Fprintln(out, "\ntry:")
	addresses := fleet.Nodes[0].Addresses()
	for _, kind := range example.Kinds {
		path := strings.ReplaceAll(kind.Path, "%d", "7")
		fmt.Fprintf(out, "  curl -isL -X %s -H '%s: %s' -o /dev/null -D - http://%s%s\n", kind.Method, wire.HeaderService, kind.Service, addresses.Callers, path)
	}
	fmt.Fprintf(out, "\n  curl -s http://%s/metrics\n  go run . explain --node %s OPERATION\n\nstop with Ctrl-C\n", addresses.Operators, addresses.Operators)
}
