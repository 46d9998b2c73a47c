package member

import "time"

// Options hold the timing of the protocol; zero values mean the defaults.
type Options struct {
	// Gossip is the time between rounds in which changes are passed on; a round without changes sends nothing.
	Gossip time.Duration
	// Probe is the time between probes of one random node.
	Probe time.Duration
	// Suspect is the time that a suspected node has to refute.
	Suspect time.Duration
	// Sync is the time between digests to a node of the same data centre.
	Sync time.Duration
	// Relay is the time between digests of a relay to each other data centre.
	Relay time.Duration
	// Revisit is the time between attempts to reach a dead node or a contact that is not a member.
	Revisit time.Duration
	// Hold is the time after which the nodes of an unreachable data centre count as dead.
	Hold time.Duration
	// Expiry is the time for which ended entries are remembered.
	Expiry time.Duration
	// Fanout is the number of nodes that a round of gossip sends to.
	Fanout int
	// Batch bounds the changes in one message.
	Batch int
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
	o.Gossip = orDefault(o.Gossip, defaultGossip)
	o.Probe = orDefault(o.Probe, defaultProbe)
	o.Suspect = orDefault(o.Suspect, defaultSuspect)
	o.Sync = orDefault(o.Sync, defaultSync)
	o.Relay = orDefault(o.Relay, defaultRelay)
	o.Revisit = orDefault(o.Revisit, defaultRevisit)
	o.Hold = orDefault(o.Hold, defaultHold)
	o.Expiry = orDefault(o.Expiry, defaultExpiry)
	o.Fanout = orDefault(o.Fanout, defaultFanout)
	o.Batch = orDefault(o.Batch, defaultBatch)

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
	return max(pauseFactor*o.Gossip, pauseProbes*o.Probe)
}

// verify is the time within which a failed call needs proof that the rest of that data centre is reachable.
func (o Options) verify() time.Duration {
	return verifyFactor * o.Probe
}

const (
	pauseFactor  = 10
	pauseProbes  = 2
	verifyFactor = 3
)
