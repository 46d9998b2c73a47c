package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/member"
)

var epoch = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

const callTimeout = 500 * time.Millisecond

// simulation runs fleets on a virtual clock and passes messages between them in memory, with loss, latency, pauses and partitions.
type simulation struct {
	now     time.Time
	random  *rand.Rand
	options member.Options
	nodes   []*node
	byID    map[string]*node
	pending timers
	// loss is the share of messages that are lost, in each direction.
	loss        float64
	meanLatency time.Duration
	// partitioned reports whether all messages between two data centres are lost.
	partitioned func(a, b string) bool
	sent        int
	// afterTick runs after each tick of a node, if set.
	afterTick func(n *node)
}

// node is one simulated process with its fleet.
type node struct {
	sim         *simulation
	fleet       *member.Fleet
	entry       member.Entry
	incarnation uint64
	up, paused  bool
	// generation changes with every start and stop, so that callbacks of a former process do nothing.
	generation int
	// deferred holds the callbacks that came due while the node was paused; they run when it resumes.
	deferred []func()
	events   []member.Event
	// received is the number of calls to the node, also while it is down.
	received int
}

type timer struct {
	at  time.Time
	run func()
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]

	return last
}

func newSimulation(seed uint64, options member.Options) *simulation {
	return &simulation{
		now: epoch, random: rand.New(rand.NewPCG(seed, 0)), options: options, byID: map[string]*node{},
		meanLatency: 2 * time.Millisecond, partitioned: func(string, string) bool { return false },
	}
}

// drainExchanges is more than the number of times that a node sends one change, so that all queues are empty afterwards.
const drainExchanges = 40

// addConverged adds nodes, spread over the data centres, that all know each other and have no changes queued.
func (sim *simulation) addConverged(count, dataCentres int) {
	var updates []member.Update
	for i := range count {
		n := sim.add(fmt.Sprintf("n%04d", i), fmt.Sprint("dc", i%dataCentres))
		n.start(member.StateServing)
		entry := n.fleet.Self()
		updates = append(updates, member.Update{Entry: &entry})
	}
	for _, n := range sim.nodes {
		from := updates[0]
		n.fleet.HandleSyncResponse(sim.now, member.Action{}, member.Difference{From: from, Updates: updates})
		n.fleet.Events()
		for range drainExchanges {
			n.fleet.HandleExchange(sim.now, member.Message{})
		}
	}
}

func (sim *simulation) add(id, dataCentre string) *node {
	n := &node{sim: sim, entry: member.Entry{
		ID: id, DataCentre: dataCentre, Service: "logboek", Control: id, Peers: id,
	}}
	sim.nodes = append(sim.nodes, n)
	sim.byID[id] = n

	return n
}

func (sim *simulation) after(delay time.Duration, run func()) {
	heap.Push(&sim.pending, timer{at: sim.now.Add(delay), run: run})
}

// run advances the clock by the span, or until the condition holds; it reports whether the condition held.
func (sim *simulation) run(span time.Duration, until func() bool) bool {
	end := sim.now.Add(span)
	for len(sim.pending) > 0 && !sim.pending[0].at.After(end) {
		next := heap.Pop(&sim.pending).(timer)
		sim.now = next.at
		next.run()
		if until != nil && until() {
			return true
		}
	}
	sim.now = end

	return false
}

// start begins a new incarnation that knows nothing but the given contacts.
func (n *node) start(state member.State, contacts ...string) {
	n.incarnation++
	n.generation++
	n.up, n.paused = true, false
	n.entry.Incarnation = n.incarnation
	n.entry.State = state
	options := n.sim.options
	options.Seed = n.sim.random.Uint64()
	n.fleet = member.New(n.entry, options, n.sim.now)
	n.fleet.AddContacts(contacts)
	n.scheduleTick(n.generation)
}

func (n *node) stop() {
	n.up = false
	n.generation++
}

func (n *node) resume() {
	n.paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, run := range deferred {
		n.sim.after(0, run)
	}
}

// scheduleTick ticks the node every 150 to 250 ms until its generation ends.
func (n *node) scheduleTick(generation int) {
	sim := n.sim
	sim.after(150*time.Millisecond+time.Duration(sim.random.Int64N(int64(100*time.Millisecond))), func() {
		n.runIn(generation, func() {
			for _, action := range n.fleet.Tick(sim.now) {
				n.call(action)
			}
			n.events = append(n.events, n.fleet.Events()...)
			if sim.afterTick != nil {
				sim.afterTick(n)
			}
			n.scheduleTick(generation)
		})
	})
}

// runIn runs the function if the generation is still current; for a paused node it is deferred.
func (n *node) runIn(generation int, run func()) {
	switch {
	case !n.up || n.generation != generation:
	case n.paused:
		n.deferred = append(n.deferred, func() { n.runIn(generation, run) })
	default:
		run()
	}
}

// call makes the call of an action. It fails after callTimeout if the request or the response is lost.
func (n *node) call(action member.Action) {
	sim, generation := n.sim, n.generation
	done := false
	sim.after(callTimeout, func() {
		n.runIn(generation, func() {
			if done {
				return
			}
			done = true
			for _, next := range n.fleet.HandleCallFailure(sim.now, action) {
				n.call(next)
			}
		})
	})
	n.send(action.Address, func(to *node) func() {
		apply := to.handle(n, action)

		return func() {
			if !done {
				done = true
				apply()
			}
		}
	})
}

// send runs the request at the addressed node and the function that it returns at this node, unless a message is lost.
func (n *node) send(address string, request func(to *node) func()) {
	sim, generation := n.sim, n.generation
	receiver, found := sim.byID[address]
	sim.sent++
	if found {
		receiver.received++
	}
	if !found || !sim.delivers(n, receiver) {
		return
	}
	sim.after(sim.latency(), func() {
		receiver.runIn(receiver.generation, func() {
			apply := request(receiver)
			if !sim.delivers(receiver, n) {
				return
			}
			sim.after(sim.latency(), func() { n.runIn(generation, apply) })
		})
	})
}

func (sim *simulation) delivers(from, to *node) bool {
	return sim.random.Float64() >= sim.loss && !sim.partitioned(from.entry.DataCentre, to.entry.DataCentre)
}

func (sim *simulation) latency() time.Duration {
	return time.Duration(sim.random.Int64N(int64(2*sim.meanLatency))) + 1
}

// handle processes an action of another node and returns the function that delivers the response to that node.
func (n *node) handle(from *node, action member.Action) func() {
	sim := n.sim
	switch action.Kind {
	case member.ActionSync:
		difference := n.fleet.HandleSync(sim.now, action.Digest)

		return func() {
			for _, next := range from.fleet.HandleSyncResponse(sim.now, action, difference) {
				from.call(next)
			}
		}
	case member.ActionIndirectProbe:
		ok := false
		n.send(action.IndirectProbe.Address, func(to *node) func() {
			reply := to.fleet.HandleExchange(sim.now, n.fleet.IndirectProbeExchange(sim.now, action.IndirectProbe).Message)

			return func() {
				n.fleet.HandleExchangeResponse(sim.now, action, reply)
				sim.after(sim.latency(), func() {
					from.runIn(from.generation, func() { from.fleet.HandleIndirectResponse(sim.now, action, true) })
				})
			}
		})

		return func() { from.fleet.HandleIndirectResponse(sim.now, action, ok) }
	default:
		reply := n.fleet.HandleExchange(sim.now, action.Message)

		return func() { from.fleet.HandleExchangeResponse(sim.now, action, reply) }
	}
}

// view returns the entry of a node in this node's view, nil if there is none.
func (n *node) view(id string) *member.Entry {
	for _, entry := range n.fleet.Entries(n.sim.now) {
		if entry.ID == id {
			return &entry
		}
	}

	return nil
}

// firstDisagreement describes the first difference between a running node's view and the actual state of the fleet, empty if none.
func (sim *simulation) firstDisagreement() string {
	for _, observer := range sim.nodes {
		if !observer.up || observer.paused {
			continue
		}
		entries := map[string]member.Entry{}
		for _, entry := range observer.fleet.Entries(sim.now) {
			entries[entry.ID] = entry
		}
		for _, subject := range sim.nodes {
			entry, found := entries[subject.entry.ID]
			if problem := compare(subject, entry, found); problem != "" {
				return fmt.Sprintf("%s's view of %s: %s", observer.entry.ID, subject.entry.ID, problem)
			}
		}
	}

	return ""
}

// compare describes how an entry differs from the actual state of its node, empty if it does not.
func compare(subject *node, entry member.Entry, found bool) string {
	if !subject.up {
		if found && !entry.State.Ended() {
			return fmt.Sprintf("stopped but %s", entry.State)
		}

		return ""
	}
	actual := subject.fleet.Self()
	if !found {
		return "missing"
	}
	if entry.State != actual.State || entry.Incarnation != actual.Incarnation || entry.Version != actual.Version {
		return fmt.Sprintf("seen as %s %d.%d but is %s %d.%d", entry.State, entry.Incarnation, entry.Version,
			actual.State, actual.Incarnation, actual.Version)
	}

	return ""
}
