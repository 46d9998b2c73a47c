package tune

import (
	"os"
	"runtime"
	"runtime/debug"
)

// Limits bound what the runtime takes. The environment variables GOMAXPROCS, GOGC and GOMEMLIMIT go first.
type Limits struct {
	// Processors is the number of processors that are used at the same time.
	Processors int
	// GCPercent is how much the heap grows until the next garbage collection, in percent of what the last one left.
	GCPercent int
	// MemoryBytes is the memory above which garbage is collected earlier than GCPercent says, zero for none.
	MemoryBytes int64
}

// Apply sets the limits of this process.
func Apply(limits Limits) {
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(limits.Processors, runtime.NumCPU()))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(limits.GCPercent)
	}
	if limits.MemoryBytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(limits.MemoryBytes)
	}
}

// sidecarGCPercent is higher than that of a node with settings of its own: calls wait while garbage is collected, and many call trees
// pass one node many times.
const sidecarGCPercent = 100

// sidecarMemoryShare is the share of the VM's memory from which garbage is collected earlier.
const sidecarMemoryShare = 0.5

// Sidecar returns the limits of a node on a VM with the given memory, zero if unknown.
func Sidecar(memoryBytes int64) Limits {
	return Limits{Processors: 1, GCPercent: sidecarGCPercent, MemoryBytes: int64(sidecarMemoryShare * float64(memoryBytes))}
}

// nodeGCPercent is low because a node keeps little memory from one call to the next.
const nodeGCPercent = 50

// Node returns the limits of a node whose settings state a number of processors.
func Node(processors int) Limits {
	return Limits{Processors: processors, GCPercent: nodeGCPercent}
}
