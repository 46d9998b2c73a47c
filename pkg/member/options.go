package member

import "time"

// Options hold the timing of the protocol; zero values mean the defaults.
type Options struct {
	// GossipInterval is the time between rounds in which changes are passed on; a round without changes sends nothing.
	GossipInterval time.Duration
	// ProbeInterval is the time between probes of one random node.
	ProbeInterval time.Duration
	// SuspectTimeout is the time that a suspected node has to refute.
	SuspectTimeout time.Duration
	// SyncInterval is the time between digests to a node of the same data centre.
	SyncInterval time.Duration
	// RelayInterval is the time between digests of a relay to each other data centre.
	RelayInterval time.Duration
	// RevisitInterval is the time between attempts to reach a dead node or a contact that is not a member.
	RevisitInterval time.Duration
	// UnreachableTimeout is the time after which the nodes of an unreachable data centre count as dead.
	UnreachableTimeout time.Duration
	// TombstoneExpiry is the time for which ended entries are remembered.
	TombstoneExpiry time.Duration
	// Fanout is the number of nodes that a round of gossip sends to.
	Fanout int
	// MaxBatch bounds the changes in one message.
	MaxBatch int
	// Seed starts the random source.
	Seed uint64
}

const (
	defaultGossip  = 200 * time.Millisecond
	defaultProbe   = time.Second
	defaultSuspect = 5 * time.Second
	defaultSync    = 10 * time.Second
	defaultRelay   = 5 * time.Second
	defaultRevisit = 30 * time.Second
	defaultHold    = time.Hour
	defaultExpiry  = 24 * time.Hour
	defaultFanout  = 3
	defaultBatch   = 48
)

func (o Options) withDefaults() Options {
	o.GossipInterval = orDefault(o.GossipInterval, defaultGossip)
	o.ProbeInterval = orDefault(o.ProbeInterval, defaultProbe)
	o.SuspectTimeout = orDefault(o.SuspectTimeout, defaultSuspect)
	o.SyncInterval = orDefault(o.SyncInterval, defaultSync)
	o.RelayInterval = orDefault(o.RelayInterval, defaultRelay)
	o.RevisitInterval = orDefault(o.RevisitInterval, defaultRevisit)
	o.UnreachableTimeout = orDefault(o.UnreachableTimeout, defaultHold)
	o.TombstoneExpiry = orDefault(o.TombstoneExpiry, defaultExpiry)
	o.Fanout = orDefault(o.Fanout, defaultFanout)
	o.MaxBatch = orDefault(o.MaxBatch, defaultBatch)

	return o
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}

	return value
}

// pauseAfter is the gap between ticks from which on the observer itself counts as paused.
func (o Options) pauseAfter() time.Duration {
	return max(pauseFactor*o.GossipInterval, pauseProbes*o.ProbeInterval)
}

// verify is the time within which a failed call needs proof that the rest of that data centre is reachable.
func (o Options) verify() time.Duration {
	return verifyFactor * o.ProbeInterval
}

const (
	pauseFactor  = 10
	pauseProbes  = 2
	verifyFactor = 3
)
