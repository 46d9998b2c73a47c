package fake

import (
	"strings"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/config"
)

// Behaviour says how a server treats its requests; it is replaced whole at run time.
type Behaviour struct {
	// Slots is the number of requests that run at once.
	Slots int `json:"slots"`
	// Waiting is the number of requests that may wait for a slot, those beyond are shed.
	Waiting int `json:"waiting"`
	// Slow multiplies each service time, zero means one.
	Slow float64 `json:"slow"`
	// Spread is the sigma of the log-normal service time, zero for a constant one.
	Spread float64 `json:"spread"`
	// FailShare is the share of requests that fail at once with status 500.
	FailShare float64 `json:"failShare"`
	// Silent keeps each request without an answer until its caller gives up.
	Silent bool `json:"silent"`
	// Draining announces that the server wants no new work.
	Draining bool `json:"draining"`
	// Lie reports LieLoad in place of the true load.
	Lie     bool    `json:"lie"`
	LieLoad float64 `json:"lieLoad"`
	// ColdFactor multiplies the service time at the start and falls to one over ColdTime.
	ColdFactor float64         `json:"coldFactor"`
	ColdTime   config.Duration `json:"coldTime"`
	// BytesPerSecond is the pace of archives, zero for as fast as the reader.
	BytesPerSecond int64 `json:"bytesPerSecond"`
}

// Route is one kind of request that a server answers.
type Route struct {
	Method string
	// Prefix matches the start of the path, Suffix its end.
	Prefix string
	Suffix string
	// Work is the mean service time.
	Work time.Duration
	// Bytes is the size of the answer.
	Bytes int64
	// Archive answers with bytes that depend on the path alone, a strong ETag and ranges.
	Archive bool
	// Hops are called one after the other, before the work, while the slot is held.
	Hops []Hop
}

func (r Route) matches(method, path string) bool {
	return r.Method == method && strings.HasPrefix(path, r.Prefix) && strings.HasSuffix(path, r.Suffix)
}

// Hop is one outgoing call.
type Hop struct {
	Service string
	Method  string
	Path    string
	// Bytes is the size of the answer that is expected.
	Bytes int64
}

// coldFactor returns the factor of the service time after that uptime.
func (b Behaviour) coldFactor(up time.Duration) float64 {
	warm := b.ColdTime.Std()
	if b.ColdFactor <= 1 || up >= warm {
		return 1
	}

	return b.ColdFactor - (b.ColdFactor-1)*float64(up)/float64(warm)
}

// slowFactor returns the switched factor of the service time.
func (b Behaviour) slowFactor() float64 {
	if b.Slow <= 0 {
		return 1
	}

	return b.Slow
}
