package plat

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/pkg/config"
)

// Mode is one way in which the platform fails.
type Mode string

// Modes of failure.
const (
	// ModeNone serves as it should.
	ModeNone Mode = "none"
	// ModeDown closes each connection without an answer and without effect.
	ModeDown Mode = "down"
	// ModeSlow waits before each request takes effect.
	ModeSlow Mode = "slow"
	// ModeNoAnswer lets requests take effect and closes the connection without an answer.
	ModeNoAnswer Mode = "noAnswer"
	// ModeRefuse answers 503 without effect.
	ModeRefuse Mode = "refuse"
)

// ErrUnknownMode is returned for a mode that is not defined.
var ErrUnknownMode = errors.New("unknown fault mode")

var modes = []Mode{ModeNone, ModeDown, ModeSlow, ModeNoAnswer, ModeRefuse}

// ParseMode returns the mode of that name, or an error that wraps ErrUnknownMode.
func ParseMode(name string) (Mode, error) {
	names := make([]string, len(modes))
	for i, mode := range modes {
		if string(mode) == name {
			return mode, nil
		}
		names[i] = string(mode)
	}

	return "", errors.Wrapf(ErrUnknownMode, "parse %q, allowed are %s", name, strings.Join(names, ", "))
}

// Fault is what fails at present.
type Fault struct {
	Mode Mode `json:"mode"`
	// Delay is the wait of ModeSlow.
	Delay config.Duration `json:"delay"`
	// Prefix limits the fault to table keys that begin with it, empty for all requests.
	Prefix string `json:"prefix"`
	// Writes limits the fault to writes.
	Writes bool `json:"writes"`
}

// NewFault returns a fault of that mode on all requests.
func NewFault(mode Mode) Fault {
	return Fault{Mode: mode}
}

// WithDelay returns a copy that waits so long in ModeSlow.
func (f Fault) WithDelay(delay time.Duration) Fault {
	f.Delay = config.Duration(delay)

	return f
}

// OnWrites returns a copy that is limited to writes of keys with that prefix.
func (f Fault) OnWrites(prefix string) Fault {
	f.Writes = true
	f.Prefix = prefix

	return f
}

func (f Fault) hits(write bool, key string) bool {
	return (write || !f.Writes) && strings.HasPrefix(key, f.Prefix)
}
