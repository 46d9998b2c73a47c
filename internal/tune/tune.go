package tune

import (
	"os"
	"runtime"
	"runtime/debug"
)

const (
	sidecarProcessors = 1
	// sidecarGCPercent is higher than nodeGCPercent: calls wait while garbage is collected, and call trees pass one node many times.
	sidecarGCPercent = 100
	// sidecarMemoryShare is the share of the VM's memory above which garbage is collected earlier.
	sidecarMemoryShare = 0.5
	// nodeGCPercent is low because a node keeps little memory from one call to the next.
	nodeGCPercent = 50
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

// Sidecar returns the limits of a node on a VM with the given memory, zero if unknown.
func Sidecar(memoryBytes int64) Limits {
	return Limits{Processors: sidecarProcessors, GCPercent: sidecarGCPercent, MemoryBytes: int64(sidecarMemoryShare * float64(memoryBytes))}
}

// Node returns the limits of a node whose settings state a number of processors.
func Node(processors int) Limits {
	return Limits{Processors: processors, GCPercent: nodeGCPercent}
}
