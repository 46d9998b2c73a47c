package cmds

import (
	"github.com/pistachiotack/pistachiotack/internal/tune"
	adapt "github.com/pistachiotack/pistachiotack/platform"
)

// SidecarCommand runs a node on the users' platform until a signal stops it.
type SidecarCommand struct {
	Check    bool   `help:"Only check the platform's settings file."`
	LogLevel string `help:"Lowest level of log lines." default:"info" enum:"debug,info,warn,error"`
}

// Run starts the node; SIGTERM drains it first.
func (c SidecarCommand) Run(env Env) error {
	settings, err := adapt.LoadSettings()
	if err != nil || c.Check {
		return err
	}
	log, closeLog, err := openProcessLog(env, c.LogLevel)
	if err != nil {
		return err
	}
	defer closeLog()
	tune.Apply(tune.Sidecar(settings.MemoryBytes))

	return log.fail(adapt.Run(env.Context, settings, log.Logger, log.lines))
}
