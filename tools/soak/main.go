package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/procs"
	"github.com/pistachiotack/pistachiotack/platform/soak"
)

const directoryMode = 0o700

// errBroken says that a promise was broken.
var errBroken = errors.New("promises were broken")

// command is the command line.
type command struct {
	First    uint64        `help:"First seed." default:"1"`
	Seeds    int           `help:"Number of seeds, one after another." default:"1"`
	Nodes    int           `help:"Number of node processes." default:"9"`
	Troubles time.Duration `help:"Time in which faults begin." default:"20s"`
	Rounds   bool          `help:"One fault at a time, each followed by calm and by changes of the routes."`
	Keep     string        `help:"Directory for settings and logs, kept afterwards." default:"out/soak"`
}

// Run plays the seeds and prints a report for each.
func (c command) Run(ctx context.Context) error {
	defer procs.RemoveBinary()
	binary, err := procs.Binary(ctx)
	if err != nil {
		return err
	}
	failed := 0
	for seed := c.First; seed < c.First+uint64(c.Seeds) && ctx.Err() == nil; seed++ {
		report, err := c.play(ctx, binary, seed)
		if err != nil {
			return err
		}
		fmt.Println(report)
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return errors.Wrapf(errBroken, "%d of %d seeds", failed, c.Seeds)
	}

	return ctx.Err()
}

// play runs one seed, whose troubles are written beside the logs of its nodes.
func (c command) play(ctx context.Context, binary string, seed uint64) (report soak.Report, err error) {
	directory, err := filepath.Abs(filepath.Join(c.Keep, strconv.FormatUint(seed, 10)))
	if err != nil {
		return soak.Report{}, errors.Wrap(err, "directory for logs")
	}
	if err = os.MkdirAll(directory, directoryMode); err != nil {
		return soak.Report{}, errors.Wrap(err, "directory for logs")
	}
	log, err := os.Create(filepath.Join(directory, "troubles.log"))
	if err != nil {
		return soak.Report{}, errors.Wrap(err, "log of troubles")
	}
	defer func() { err = errors.CombineErrors(err, log.Close()) }()

	return soak.Run(ctx, soak.Options{
		Seed: seed, Binary: binary, Directory: directory, Nodes: c.Nodes, FaultTime: c.Troubles, Rounds: c.Rounds,
		Log: slog.New(slog.NewJSONHandler(io.Writer(log), nil)),
	})
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var soaking command
	parsed := kong.Parse(&soaking, kong.Name("soak"), kong.Description("Plays the fault soak."), kong.BindTo(ctx, (*context.Context)(nil)))
	parsed.FatalIfErrorf(parsed.Run())
}
