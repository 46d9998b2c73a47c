package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// cli holds the commands.
type cli struct {
	Run     runCommand     `cmd:"" help:"Play one scenario (or all) against each variant and compare goodput and recovery."`
	Latency latencyCommand `cmd:"" help:"Pair calls through two nodes with direct calls and print what the nodes add."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var commands cli
	parsed := kong.Parse(&commands,
		kong.Name("bench"),
		kong.Description("Measures fleets of real node processes against baselines."),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	parsed.FatalIfErrorf(parsed.Run())
}
