package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/load"
	"github.com/pistachiotack/pistachiotack/internal/procs"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

type runCommand struct {
	Scenario []string      `help:"Scenarios to play, \"each\" for all triggers of overload, \"faults\" for all faults." default:"each"`
	Example  string        `help:"Example whose services and mix are used." enum:"rijksbureau,vysocina" default:"rijksbureau"`
	Variants []string      `help:"Variants in order: none, baseline, adaptive." default:"none,baseline,adaptive"`
	Seed     uint64        `help:"Seed of arrivals, kinds and service times." default:"1"`
	Scale    int           `help:"Divides the slots of the users' targets." default:"10"`
	Before   time.Duration `help:"Time before the trigger." default:"4s"`
	During   time.Duration `help:"Time of the trigger." default:"6s"`
	After    time.Duration `help:"Time after the trigger." default:"10s"`
	Out      string        `help:"Directory for tables, JSON, plots and logs." default:"out"`
}

// Run plays the scenarios one after the other.
func (r *runCommand) Run(ctx context.Context) error {
	defer procs.RemoveBinary()
	binary, err := procs.Binary(ctx)
	if err != nil {
		return err
	}
	if err = os.MkdirAll(r.Out, directoryMode); err != nil {
		return errors.Wrap(err, "make output directory")
	}
	fmt.Printf("%d cores, %s, %s\n\n", runtime.NumCPU(), runtime.Version(), time.Now().UTC().Format(time.RFC3339))
	for _, scenario := range r.scenarios() {
		if err = r.compare(ctx, binary, scenario); err != nil {
			return err
		}
	}

	return nil
}

func (r *runCommand) scenarios() []string {
	var names []string
	for _, name := range r.Scenario {
		switch name {
		case "each":
			names = append(names, namesOf(procs.Scenarios())...)
		case "faults":
			names = append(names, namesOf(procs.Faults())...)
		default:
			names = append(names, name)
		}
	}

	return names
}

func namesOf(scenarios []procs.Scenario) []string {
	names := make([]string, 0, len(scenarios))
	for _, scenario := range scenarios {
		names = append(names, scenario.Name)
	}

	return names
}

// compare plays one scenario against each variant, with a fresh fleet.
func (r *runCommand) compare(ctx context.Context, binary, name string) error {
	scenario, err := procs.FindScenario(slices.Concat(procs.Scenarios(), procs.Faults()), name)
	if err != nil {
		return err
	}
	var reports []*load.Report
	for _, variant := range r.Variants {
		report, err := r.play(ctx, binary, scenario, variant)
		if err != nil {
			return errors.Wrapf(err, "scenario %s, variant %s", name, variant)
		}
		reports = append(reports, report)
		if err = report.WriteTable(os.Stdout); err != nil {
			return errors.Wrap(err, "print table")
		}
		fmt.Println()
	}

	return r.write(name, reports)
}

func (r *runCommand) play(ctx context.Context, binary string, scenario procs.Scenario, variant string) (*load.Report, error) {
	example, err := load.FindExample(r.Example)
	if err != nil {
		return nil, err
	}
	example.Scale = r.Scale
	directory := filepath.Join(r.Out, "logs", scenario.Name+"-"+variant)
	if err = os.RemoveAll(directory); err != nil {
		return nil, errors.Wrap(err, "remove old logs")
	}
	if err = os.MkdirAll(directory, directoryMode); err != nil {
		return nil, errors.Wrap(err, "make log directory")
	}
	fleet, clean, err := procs.Start(ctx, procs.Options{
		Example: example, Seed: r.Seed, Binary: binary, Directory: directory, Policy: variant,
		Linked: scenario.Linked,
		Tree:   filepath.Join("examples", r.Example, "tree.toml"),
	})
	if err != nil {
		return nil, err
	}
	defer clean()

	return fleet.Play(ctx, scenario, procs.Timing{Before: r.Before, During: r.During, After: r.After}, nil)
}

func (r *runCommand) write(name string, reports []*load.Report) error {
	stem := filepath.Join(r.Out, fmt.Sprintf("%s-%s-%d", name, r.Example, r.Seed))
	text, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode reports")
	}
	if err = os.WriteFile(stem+".json", text, fileMode); err != nil {
		return errors.Wrap(err, "write reports")
	}

	return plotReports(stem+".svg", reports)
}
