package cmds

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/node"
	"github.com/pistachiotack/pistachiotack/internal/tune"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// NodeCommand runs a node until a signal stops it.
type NodeCommand struct {
	Settings string `help:"Settings file of the node (TOML)." placeholder:"FILE" required:""`
	Check    bool   `help:"Only check the settings file."`
}

// Run starts the node; SIGTERM and SIGINT drain it first.
func (c NodeCommand) Run(env Env) error {
	settings, err := config.Load(c.Settings)
	if err != nil {
		return err
	}
	snapshot, err := loadTree(settings.Tree)
	if err != nil || c.Check {
		return err
	}
	log, closeLog, err := openProcessLog(env, settings.Log.Level)
	if err != nil {
		return err
	}
	defer closeLog()
	tune.Apply(tune.Node(settings.Processors))
	started, err := node.Start(env.Context, settings, snapshot, node.Logs{Log: log.Logger, Decisions: log.lines})
	if err != nil {
		return log.fail(err)
	}
	err = started.Wait(env.Context)

	return log.fail(errors.CombineErrors(err, started.Stop()))
}

// loadTree reads the tree that serves until a revision is accepted.
func loadTree(file string) (*tree.Snapshot, error) {
	if file == "" {
		return tree.EmptySnapshot(), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings tree")
	}
	parsed, err := tree.Parse(string(text))
	if err != nil {
		return nil, errors.Wrapf(err, "parse settings tree %s", file)
	}

	return tree.NewSnapshot(0, parsed), nil
}
