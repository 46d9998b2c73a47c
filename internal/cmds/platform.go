package cmds

import (
	"fmt"

	"github.com/pistachiotack/pistachiotack/internal/plat"
)

// PlatformCommand runs the stand-in of the platform.
type PlatformCommand struct {
	Listen string `help:"Address to listen on, port 0 for a free one." default:"127.0.0.1:7400"`
}

// Run serves until the context ends; faults are switched on with PUT /admin/fault?mode=down|slow|noAnswer|refuse|none.
func (c PlatformCommand) Run(env Env) error {
	platform, cleanup, err := plat.New(env.Context, c.Listen)
	if err != nil {
		return err
	}
	defer cleanup()
	fmt.Fprintf(env.Out, "platform stand-in on http://%s\n", platform.Address())
	<-env.Context.Done()

	return nil
}
