package cmds

import (
	"github.com/pistachiotack/pistachiotack/internal/demo"
)

// DemoCommand runs an example in this process.
type DemoCommand struct {
	Example string `default:"rijksbureau" enum:"rijksbureau,vysocina" help:"Example to run (${enum})."`
	Serve   bool   `help:"Stay up after the load and print calls to try."`
	Seed    uint64 `default:"1" help:"Seed of the load."`
}

// Run runs the demo.
func (c DemoCommand) Run(env Env) error {
	return demo.Run(env.Context, env.Out, env.Examples, demo.Options{Example: c.Example, Serve: c.Serve, Seed: c.Seed})
}
