package cmds

import (
	"os"
	"runtime"
	"runtime/debug"
)

// A node shares its VM with the backend server, so it takes little of it; GOMAXPROCS and GOGC in the environment go first.
const (
	nodeProcessors = 2
	nodeGCPercent  = 50
)

// staySmall bounds the processors and the memory that the node's runtime takes.
func staySmall() {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(nodeProcessors, runtime.NumCPU()))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(nodeGCPercent)
	}
}
