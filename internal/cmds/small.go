package cmds

import (
	"os"
	"runtime"
	"runtime/debug"
)

// A node shares its VM with the backend server, so it takes little of it; GOMAXPROCS and GOGC in the environment go first.
const nodeGCPercent = 50

// staySmall bounds the processors and the memory that the node's runtime takes.
func staySmall(processors int) {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(processors, runtime.NumCPU()))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(nodeGCPercent)
	}
}
