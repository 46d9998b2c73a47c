package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fleet is one node's knowledge of all nodes; its methods are not safe for concurrent use.
type Fleet struct {
	options Options
	random  *rand.Rand
	start   time.Time

	self    *Entry
	records map[string]*record
	// ids are the keys of records in order, so that equal seeds give equal runs.
	ids     []string
	changes queue
	sums    [BucketCount]uint64
	events  []Event
	serial  uint64

	lastTick time.Time
	// clashed is when another process with this node's name was last heard of.
	clashed time.Time
	resumed time.Time
	// deafUntil is the time before which a message may be older than the tombstones that it contradicts.
	deafUntil  time.Time
	schedule   schedule
	unverified []unverifiedFault
	reached    map[string]reachability
	contacts   []string
}

// record is an entry and the time of its last verdict, counted from the fleet's start.
type record struct {
	entry *Entry
	since time.Duration
}

// schedule holds when each periodic duty is due next.
type schedule struct {
	probe   time.Time
	sync    time.Time
	relay   time.Time
	revisit time.Time
	sweep   time.Time
}

// New returns the knowledge of a node that knows only itself.
func New(self Entry, options Options, now time.Time) *Fleet {
	options = options.withDefaults()
	if self.Declared == "" {
		self.Declared = self.State
	}
	f := &Fleet{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(self.ID))),
		start:    now,
		self:     &self,
		records:  map[string]*record{},
		lastTick: now,
		reached:  map[string]reachability{},
	}
	f.schedule = schedule{
		probe:   now.Add(f.jitter(options.ProbeInterval)),
		sync:    now.Add(f.jitter(options.ProbeInterval)),
		relay:   now.Add(f.jitter(options.RelayInterval)),
		revisit: now,
		sweep:   now.Add(options.SuspectTimeout),
	}
	f.put(f.self, now)
	f.changes.add(self.ID)

	return f
}

// Self returns the node's own entry.
func (f *Fleet) Self() Entry {
	return *f.self
}

// Serial changes whenever an entry or its reachability did.
func (f *Fleet) Serial() uint64 {
	return f.serial
}

// Events returns what was concluded since the last call.
func (f *Fleet) Events() []Event {
	events := f.events
	f.events = nil

	return events
}

// SetState announces a new state of the node itself, with an error that wraps ErrTransition if its life does not allow it.
func (f *Fleet) SetState(now time.Time, state State) error {
	if state == f.self.State {
		return nil
	}
	event, err := announcement(state)
	if err != nil {
		return err
	}
	next, err := fire(f.self.State, event)
	if err != nil {
		return err
	}
	f.note(f.self.ID, f.self.State, next, ReasonAnnounced)
	f.announce(now, f.self.WithState(next))

	return nil
}

// SetPeers announces the address at which the node takes forwarded calls.
func (f *Fleet) SetPeers(now time.Time, address string) {
	self := *f.self
	self.Peers = address
	self.Version++
	f.announce(now, self)
}

// SetRevision sets the settings revision that the node's messages mention from now on.
func (f *Fleet) SetRevision(now time.Time, revision uint64) {
	changed := *f.self
	changed.Revision = revision
	f.self = &changed
	f.put(f.self, now)
}

// AddContacts adds control addresses that are tried while no member is known there.
func (f *Fleet) AddContacts(addresses []string) {
	for _, address := range addresses {
		if address != "" && address != f.self.Control && !slices.Contains(f.contacts, address) {
			f.contacts = append(f.contacts, address)
		}
	}
	if excess := len(f.contacts) - maxContacts; excess > 0 {
		f.contacts = slices.Delete(f.contacts, 0, excess)
	}
	if len(addresses) > 0 && f.alone() {
		f.schedule.revisit = time.Time{}
	}
}

const maxContacts = 64

// announce replaces the node's own entry and spreads it.
func (f *Fleet) announce(now time.Time, self Entry) {
	f.self = &self
	f.put(f.self, now)
	f.changes.add(self.ID)
}

// put stores an entry and keeps sums, order and serial in step.
func (f *Fleet) put(entry *Entry, now time.Time) {
	known, found := f.records[entry.ID]
	if !found {
		known = &record{}
		f.records[entry.ID] = known
		at, _ := slices.BinarySearch(f.ids, entry.ID)
		f.ids = slices.Insert(f.ids, at, entry.ID)
	} else {
		f.sums[bucketOf(entry.ID)] ^= known.entry.sum()
	}
	known.entry = entry
	known.since = now.Sub(f.start)
	f.sums[bucketOf(entry.ID)] ^= entry.sum()
	f.serial++
}

// forget drops an entry for good.
func (f *Fleet) forget(id string) {
	known, found := f.records[id]
	if !found {
		return
	}
	f.sums[bucketOf(id)] ^= known.entry.sum()
	delete(f.records, id)
	at, _ := slices.BinarySearch(f.ids, id)
	f.ids = slices.Delete(f.ids, at, at+1)
	f.changes.remove(id)
	f.serial++
}

func (f *Fleet) note(id string, from, to State, reason Reason) {
	f.events = append(f.events, Event{ID: id, From: from, To: to, Reason: reason})
}

// age returns the time since the record's last verdict.
func (f *Fleet) age(r *record, now time.Time) time.Duration {
	return now.Sub(f.start) - r.since
}

// jitter spreads a period by a quarter to both sides.
func (f *Fleet) jitter(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (1 + jitterShare*(2*f.random.Float64()-1)))
}

const jitterShare = 0.25
