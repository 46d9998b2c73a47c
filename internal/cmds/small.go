package cmds

import (
	"os"
	"runtime"
	"runtime/debug"
)

// A node shares its VM with the backend server, so it takes little of it; GOMAXPROCS and GOGC in the environment go first.
const (
	nodeGCPercent = 50
	// sidecarGCPercent trades a little processor time for memory, of which the platform has less.
	sidecarGCPercent = 20
)

// staySmall bounds the processors and the memory that the node's runtime takes.
func staySmall(processors, gcPercent int) {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(processors, runtime.NumCPU()))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
