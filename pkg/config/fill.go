package config

import "time"

// Values of OrphanCalls.
const (
	OrphanRefuse = "refuse"
	OrphanRoot   = "root"
)

// Values of Policy.
const (
	PolicyAdaptive = "adaptive"
	PolicyBaseline = "baseline"
)

// Defaults of the settings file.
const (
	defaultAddress         = "127.0.0.1:0"
	defaultSlots           = 16
	defaultConnections     = 256
	defaultPlatformTimeout = 2 * time.Second
	defaultGossip          = 200 * time.Millisecond
	defaultProbe           = time.Second
	defaultSuspect         = 5 * time.Second
	defaultContacts        = time.Minute
	defaultPoll            = 5 * time.Second
	defaultLogBuffer       = 1024
	defaultLogLevel        = "info"
	defaultProcessors      = 2
)

// WithDefaults returns a copy in which all that the file left out is filled in.
func (n Node) WithDefaults() Node {
	for _, address := range []*string{&n.Listen.Callers, &n.Listen.Peers, &n.Listen.Control, &n.Listen.Backend, &n.Listen.Operators} {
		fill(address, defaultAddress)
	}
	fill(&n.Backend.Slots, defaultSlots)
	fill(&n.Backend.Connections, defaultConnections)
	fill(&n.Backend.OrphanCalls, OrphanRefuse)
	fill(&n.Platform.Timeout, Duration(defaultPlatformTimeout))
	fill(&n.Fleet.Gossip, Duration(defaultGossip))
	fill(&n.Fleet.Probe, Duration(defaultProbe))
	fill(&n.Fleet.Suspect, Duration(defaultSuspect))
	fill(&n.Fleet.Contacts, Duration(defaultContacts))
	fill(&n.Fleet.Poll, Duration(defaultPoll))
	fill(&n.Log.Buffer, defaultLogBuffer)
	fill(&n.Log.Level, defaultLogLevel)
	fill(&n.Processors, defaultProcessors)
	fill(&n.Policy, PolicyAdaptive)

	return n
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
