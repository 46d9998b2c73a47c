package procs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Fields of /proc/PID/stat behind the command's closing bracket, and the kernel's tick.
const (
	statUser   = 11
	statSystem = 12
	clockTick  = 10 * time.Millisecond
)

// Usage is what a process has used of the machine.
type Usage struct {
	// Resident is in bytes, Peak the most of it so far.
	Resident int64
	Peak     int64
	CPU      time.Duration
}

// Usage reads the kernel's figures of the process.
func (p *Process) Usage() (Usage, error) {
	return usageOf(p.command.Process.Pid)
}

func usageOf(pid int) (Usage, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "read process status")
	}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "read process stat")
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(after)
	if len(fields) <= statSystem {
		return Usage{}, errors.Newf("stat of process %d has %d fields", pid, len(fields))
	}
	user, _ := strconv.ParseInt(fields[statUser], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystem], 10, 64)

	return Usage{
		Resident: kibibytes(string(status), "VmRSS:"),
		Peak:     kibibytes(string(status), "VmHWM:"),
		CPU:      time.Duration(user+system) * clockTick,
	}, nil
}

// stoppedProcess reports whether a signal has stopped the process.
func stoppedProcess(pid int) (bool, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return false, errors.Wrap(err, "read process stat")
	}
	_, after, _ := strings.Cut(string(stat), ") ")

	return strings.HasPrefix(after, "T"), nil
}

func kibibytes(status, key string) int64 {
	_, after, _ := strings.Cut(status, key)
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	value, _ := strconv.ParseInt(fields[0], 10, 64)

	return value << 10
}
