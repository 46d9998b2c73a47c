package cmds

import (
	"fmt"
	"runtime/debug"
)

// VersionCommand prints the version.
type VersionCommand struct{}

// Run prints the module version, the commit if the build knows it, and the Go version.
func (VersionCommand) Run(env Env) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		_, err := fmt.Fprintln(env.Out, "pistachiotack (unknown build)")

		return err
	}
	commit := "unknown"
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			commit = setting.Value
		}
	}
	_, err := fmt.Fprintf(env.Out, "pistachiotack %s commit %s %s\n", info.Main.Version, commit, info.GoVersion)

	return err
}
