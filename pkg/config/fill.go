package config

import "time"

// Values of Backend.OrphanCalls.
const (
	OrphanRefuse = "refuse"
	OrphanRoot   = "root"
)

// Values of Node.Policy.
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

// WithDefaults returns a copy with defaults for all settings that the file leaves out.
func (n Node) WithDefaults() Node {
	for _, address := range []*string{&n.Listen.Callers, &n.Listen.Peers, &n.Listen.Control, &n.Listen.Backend, &n.Listen.Operators} {
		setDefault(address, defaultAddress)
	}
	setDefault(&n.Backend.Slots, defaultSlots)
	setDefault(&n.Backend.Connections, defaultConnections)
	setDefault(&n.Backend.OrphanCalls, OrphanRefuse)
	setDefault(&n.Platform.Timeout, Duration(defaultPlatformTimeout))
	setDefault(&n.Fleet.Gossip, Duration(defaultGossip))
	setDefault(&n.Fleet.Probe, Duration(defaultProbe))
	setDefault(&n.Fleet.Suspect, Duration(defaultSuspect))
	setDefault(&n.Fleet.Contacts, Duration(defaultContacts))
	setDefault(&n.Fleet.Poll, Duration(defaultPoll))
	setDefault(&n.Log.Buffer, defaultLogBuffer)
	setDefault(&n.Log.Level, defaultLogLevel)
	setDefault(&n.Processors, defaultProcessors)
	setDefault(&n.Policy, PolicyAdaptive)

	return n
}

// setDefault sets the field to the value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
