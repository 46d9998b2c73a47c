package member

import "time"

// Options holds the timing and limits of the protocol; zero values select the defaults.
type Options struct {
	// GossipInterval is the time between gossip rounds; a round without queued changes sends nothing.
	GossipInterval time.Duration
	// ProbeInterval is the time between probes, each of which is an exchange with a random node.
	ProbeInterval time.Duration
	// SuspectTimeout is how long a suspect node has to refute the suspicion.
	SuspectTimeout time.Duration
	// SyncInterval is the time between digest comparisons with a node of the same data centre.
	SyncInterval time.Duration
	// RelayInterval is the time between digest comparisons of a relay with each other data centre.
	RelayInterval time.Duration
	// RevisitInterval is the time between attempts to reach a node that ended long ago or a contact at which no member is known.
	RevisitInterval time.Duration
	// UnreachableTimeout is how long a data centre may be unreachable before its nodes are suspected and declared dead.
	UnreachableTimeout time.Duration
	// TombstoneExpiry is how long entries of ended nodes are kept.
	TombstoneExpiry time.Duration
	// Fanout is the number of nodes that a gossip round sends to.
	Fanout int
	// MaxBatch is the maximum number of changes in one message.
	MaxBatch int
	// Seed initialises the random source.
	Seed uint64
}

const (
	defaultGossipInterval     = 200 * time.Millisecond
	defaultProbeInterval      = time.Second
	defaultSuspectTimeout     = 5 * time.Second
	defaultSyncInterval       = 10 * time.Second
	defaultRelayInterval      = 5 * time.Second
	defaultRevisitInterval    = 30 * time.Second
	defaultUnreachableTimeout = time.Hour
	defaultTombstoneExpiry    = 24 * time.Hour
	defaultFanout             = 3
	defaultMaxBatch           = 48
)

func (o Options) withDefaults() Options {
	o.GossipInterval = orDefault(o.GossipInterval, defaultGossipInterval)
	o.ProbeInterval = orDefault(o.ProbeInterval, defaultProbeInterval)
	o.SuspectTimeout = orDefault(o.SuspectTimeout, defaultSuspectTimeout)
	o.SyncInterval = orDefault(o.SyncInterval, defaultSyncInterval)
	o.RelayInterval = orDefault(o.RelayInterval, defaultRelayInterval)
	o.RevisitInterval = orDefault(o.RevisitInterval, defaultRevisitInterval)
	o.UnreachableTimeout = orDefault(o.UnreachableTimeout, defaultUnreachableTimeout)
	o.TombstoneExpiry = orDefault(o.TombstoneExpiry, defaultTombstoneExpiry)
	o.Fanout = orDefault(o.Fanout, defaultFanout)
	o.MaxBatch = orDefault(o.MaxBatch, defaultMaxBatch)

	return o
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}

	return value
}

// pauseThreshold is the gap between ticks from which this node counts as having been paused.
func (o Options) pauseThreshold() time.Duration {
	return max(pauseGossipIntervals*o.GossipInterval, pauseProbeIntervals*o.ProbeInterval)
}

// verifyTimeout is how long a failed call waits for proof that the path to the node works. A data centre whose calls have all failed
// for that long counts as unreachable.
func (o Options) verifyTimeout() time.Duration {
	return verifyProbeIntervals * o.ProbeInterval
}

const (
	pauseGossipIntervals = 10
	pauseProbeIntervals  = 2
	verifyProbeIntervals = 3
)
