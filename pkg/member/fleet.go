package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fleet is one node's view of all nodes, its own entry included. It is not safe for concurrent use.
type Fleet struct {
	options Options
	random  *rand.Rand
	start   time.Time

	self    *Entry
	records map[string]*record
	// ids are the keys of records in sorted order, so that runs with the same seed are reproducible.
	ids     []string
	changes queue
	sums    [BucketCount]uint64
	events  []Event
	serial  uint64

	lastTick time.Time
	// nameConflictAt is when another process with this node's ID was last detected.
	nameConflictAt time.Time
	// resumedAt is when the node last resumed after a pause; responses to calls sent earlier are ignored.
	resumedAt time.Time
	// ignoreMessagesUntil is set after a long pause: messages that arrive earlier may have been sent before or during the pause and
	// could restore nodes whose tombstones have expired.
	ignoreMessagesUntil time.Time
	schedule            schedule
	unverified          []unverifiedFault
	reachabilities      map[string]reachability
	contacts            []string
}

// record is an entry and the time of its last change, as an offset from the start of the fleet.
type record struct {
	entry     *Entry
	updatedAt time.Duration
	// departed is the last departure that the node has announced, in whichever incarnation.
	departed *Departure
}

// schedule holds the next due time of each periodic task.
type schedule struct {
	probe   time.Time
	sync    time.Time
	relay   time.Time
	revisit time.Time
	ended   time.Time
	expire  time.Time
}

// New returns a fleet that contains only the node itself.
func New(self Entry, options Options, now time.Time) *Fleet {
	options = options.withDefaults()
	if self.Declared == "" {
		self.Declared = self.State
	}
	f := &Fleet{
		options:        options,
		random:         rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(self.ID))),
		start:          now,
		self:           &self,
		records:        map[string]*record{},
		lastTick:       now,
		reachabilities: map[string]reachability{},
	}
	f.schedule = schedule{
		probe:   now.Add(f.jitter(options.ProbeInterval)),
		sync:    now.Add(f.jitter(options.ProbeInterval)),
		relay:   now.Add(f.jitter(options.RelayInterval)),
		revisit: now,
		ended:   now,
		expire:  now.Add(options.SuspectTimeout),
	}
	f.put(f.self, now)
	f.changes.add(self.ID)

	return f
}

// Self returns the node's own entry.
func (f *Fleet) Self() Entry {
	return *f.self
}

// Serial returns a counter that increases with every change of an entry or of a data centre's reachability.
func (f *Fleet) Serial() uint64 {
	return f.serial
}

// Events returns and clears the events since the last call.
func (f *Fleet) Events() []Event {
	events := f.events
	f.events = nil

	return events
}

// SetState announces a new state of the node itself. It returns an error that wraps ErrTransition if the transition is not allowed.
func (f *Fleet) SetState(now time.Time, state State) error {
	if state == f.self.State {
		return nil
	}
	event, err := announcementTrigger(state)
	if err != nil {
		return err
	}
	next, err := fire(f.self.State, event)
	if err != nil {
		return err
	}
	f.recordEvent(f.self.ID, f.self.State, next, ReasonAnnounced)
	f.announce(now, f.self.WithState(next))

	return nil
}

// SetPeers announces the address at which the node accepts forwarded calls.
func (f *Fleet) SetPeers(now time.Time, address string) {
	self := *f.self
	self.Peers = address
	self.Version++
	f.announce(now, self)
}

// SetLeaving announces that a planned stop of the node has begun.
func (f *Fleet) SetLeaving(now time.Time) {
	self := *f.self
	self.LeavingAt = now.UTC().Truncate(time.Millisecond)
	self.Version++
	f.announce(now, self)
}

// SetRevision sets the settings revision that the node's own entry carries.
func (f *Fleet) SetRevision(now time.Time, revision uint64) {
	changed := *f.self
	changed.Revision = revision
	f.self = &changed
	f.put(f.self, now)
}

// AddContacts adds control addresses that are tried for as long as no live member is known at them. Beyond maxContacts the oldest
// are dropped.
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

// maxContacts is the maximum number of contacts that are kept.
const maxContacts = 64

// announce replaces the node's own entry and queues it for gossip.
func (f *Fleet) announce(now time.Time, self Entry) {
	f.self = &self
	f.put(f.self, now)
	f.changes.add(self.ID)
}

// put stores an entry and updates the bucket sums, the sorted IDs and the serial.
func (f *Fleet) put(entry *Entry, now time.Time) {
	rec, found := f.records[entry.ID]
	if !found {
		rec = &record{}
		f.records[entry.ID] = rec
		at, _ := slices.BinarySearch(f.ids, entry.ID)
		f.ids = slices.Insert(f.ids, at, entry.ID)
	} else {
		f.sums[bucketOf(entry.ID)] ^= rec.entry.sum()
	}
	rec.entry = entry
	if entry.Departed != nil {
		rec.departed = entry.Departed
	}
	rec.updatedAt = now.Sub(f.start)
	f.sums[bucketOf(entry.ID)] ^= entry.sum()
	f.serial++
}

// remove deletes an entry together with its bucket sum and queued change.
func (f *Fleet) remove(id string) {
	rec, found := f.records[id]
	if !found {
		return
	}
	f.sums[bucketOf(id)] ^= rec.entry.sum()
	delete(f.records, id)
	at, _ := slices.BinarySearch(f.ids, id)
	f.ids = slices.Delete(f.ids, at, at+1)
	f.changes.remove(id)
	f.serial++
}

// recordEvent adds an event for the next call of Events.
func (f *Fleet) recordEvent(id string, from, to State, reason Reason) {
	f.events = append(f.events, Event{ID: id, From: from, To: to, Reason: reason})
}

// age returns the time since the last change of the record.
func (f *Fleet) age(r *record, now time.Time) time.Duration {
	return now.Sub(f.start) - r.updatedAt
}

// jitter varies an interval by up to jitterShare in both directions, so that nodes do not act in lockstep.
func (f *Fleet) jitter(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (1 + jitterShare*(2*f.random.Float64()-1)))
}

const jitterShare = 0.25
