package cmds

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage is for a command line or settings that cannot be used; nothing was started.
	ExitUsage = 2
)

const description = `Overload control for service call graphs: one node beside each backend server.

Exit codes: 0 done, 1 failed, 2 command line or settings cannot be used and nothing was started.`

// Commands is the command line.
type Commands struct {
	Node     NodeCommand     `cmd:"" help:"Run the node beside a backend server."`
	Sidecar  SidecarCommand  `cmd:"" help:"Run the node beside a backend server on the users' platform, with its settings file."`
	Demo     DemoCommand     `cmd:"" help:"Run one of the examples in this process, with a surge, and show what became of it."`
	Explain  ExplainCommand  `cmd:"" help:"Show the decisions about an operation, a root request or a platform's request, from nodes or from their logs."`
	Losses   LossesCommand   `cmd:"" help:"Show which requests the nodes refused or failed, by interval, kind and reason, from their logs."`
	Settings SettingsCommand `cmd:"" help:"Show and edit the settings tree over a node's operators' listener."`
	Status   StatusCommand   `cmd:"" help:"Show the fleet as one node sees it: members, revision, and what is degraded and why."`
	Platform PlatformCommand `cmd:"" help:"Run a small stand-in of the table service and object store, for tests and local use."`
	Version  VersionCommand  `cmd:"" help:"Print the version."`
}

// Env is what each command runs in.
type Env struct {
	Context  context.Context
	In       io.Reader
	Out      io.Writer
	Err      io.Writer
	Examples fs.FS
}

// Main runs the command line and returns the exit code.
func Main(args []string, examples fs.FS) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()

	return Run(Env{Context: ctx, In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Examples: examples}, args)
}

// Run parses the command line, runs the command and returns the exit code.
func Run(env Env, args []string) int {
	exited := -1
	parser, err := kong.New(&Commands{},
		kong.Name("pistachiotack"),
		kong.Description(description),
		kong.Writers(env.Out, env.Err),
		kong.Exit(func(code int) { exited = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		return report(env, err)
	}
	command, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(env.Err, "pistachiotack: %v\nTry pistachiotack --help.\n", err)

		return ExitUsage
	}

	return report(env, command.Run(env))
}

// report prints an error and returns the exit code that belongs to it.
func report(env Env, err error) int {
	if err == nil {
		return ExitOK
	}
	if !errors.Is(err, errLogged) {
		fmt.Fprintf(env.Err, "pistachiotack: %v\n", err)
	}
	var file *config.FileError
	var problems tree.Problems
	if errors.As(err, &file) || errors.As(err, &problems) || errors.Is(err, fs.ErrNotExist) || errors.Is(err, ErrNoBase) {
		return ExitUsage
	}

	return ExitFailure
}
