package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/procs"
)

// command is the command line.
type command struct {
	Sizes  []int         `help:"Sizes of the fleet." default:"25,50,100,200"`
	Time   time.Duration `help:"Length of each phase." default:"20s"`
	Target int           `help:"Size to work out." default:"1200"`
	Seed   uint64        `help:"Seed of the restarts." default:"1"`
	Out    string        `help:"File for the figures as JSON." placeholder:"FILE"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c command
	parsed := kong.Parse(&c, kong.Name("slope"), kong.Description("Measures what the control of a node costs."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	parsed.FatalIfErrorf(parsed.Run())
}

// Run measures each size and prints the figures and what they make at the target size.
func (c command) Run(ctx context.Context) error {
	directory, err := os.MkdirTemp("", "pistachiotack-slope-")
	if err != nil {
		return errors.Wrap(err, "make directory")
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binary, err := procs.Build(ctx, directory)
	if err != nil {
		return err
	}
	var results []result
	for _, size := range c.Sizes {
		measured, err := measure(ctx, options{
			size: size, binary: binary, directory: directory, time: c.Time, seed: c.Seed,
		})
		if err != nil {
			return errors.Wrapf(err, "measure %d nodes", size)
		}
		measured.print(os.Stdout)
		results = append(results, measured)
	}
	extrapolate(os.Stdout, results, c.Target)
	if c.Out == "" {
		return nil
	}
	text, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode figures")
	}
	if err = os.WriteFile(c.Out, text, fileMode); err != nil {
		return errors.Wrap(err, "write figures")
	}
	fmt.Fprintf(os.Stdout, "figures in %s\n", c.Out)

	return nil
}

const fileMode = 0o600
