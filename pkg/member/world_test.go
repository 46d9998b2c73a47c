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

// world passes messages between fleets in memory, with loss, delay, pauses and cuts.
type world struct {
	now     time.Time
	random  *rand.Rand
	options member.Options
	nodes   []*node
	byID    map[string]*node
	pending timers
	loss    float64
	delay   time.Duration
	// cut reports whether nothing passes between two data centres.
	cut  func(a, b string) bool
	sent int
	// check runs after each tick of a node.
	check func(n *node)
}

type node struct {
	world       *world
	fleet       *member.Fleet
	entry       member.Entry
	incarnation uint64
	up, paused  bool
	life        int
	// missed runs once the node is no longer paused.
	missed []func()
	events []member.Event
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

func newWorld(seed uint64, options member.Options) *world {
	return &world{
		now: epoch, random: rand.New(rand.NewPCG(seed, 0)), options: options, byID: map[string]*node{},
		delay: 2 * time.Millisecond, cut: func(string, string) bool { return false },
	}
}

// quietAfter is more often than a node passes its own entry on.
const quietAfter = 40

// fill adds nodes in so many data centres that all know each other and have nothing to tell.
func (w *world) fill(count, dataCentres int) {
	var updates []member.Update
	for i := range count {
		n := w.add(fmt.Sprintf("n%04d", i), fmt.Sprint("dc", i%dataCentres))
		n.start(member.StateServing)
		entry := n.fleet.Self()
		updates = append(updates, member.Update{Entry: &entry})
	}
	for _, n := range w.nodes {
		from := updates[0]
		n.fleet.HandleSyncResponse(w.now, member.Action{}, member.Difference{From: from, Updates: updates})
		n.fleet.Events()
		for range quietAfter {
			n.fleet.HandleExchange(w.now, member.Message{})
		}
	}
}

func (w *world) add(id, dataCentre string) *node {
	n := &node{world: w, entry: member.Entry{
		ID: id, DataCentre: dataCentre, Service: "logboek", Control: id, Peers: id,
	}}
	w.nodes = append(w.nodes, n)
	w.byID[id] = n

	return n
}

func (w *world) after(delay time.Duration, run func()) {
	heap.Push(&w.pending, timer{at: w.now.Add(delay), run: run})
}

// run lets time pass, or stops early when the condition holds; it reports whether it did.
func (w *world) run(span time.Duration, until func() bool) bool {
	end := w.now.Add(span)
	for len(w.pending) > 0 && !w.pending[0].at.After(end) {
		next := heap.Pop(&w.pending).(timer)
		w.now = next.at
		next.run()
		if until != nil && until() {
			return true
		}
	}
	w.now = end

	return false
}

// start begins a new incarnation that knows the given contacts only.
func (n *node) start(state member.State, contacts ...string) {
	n.incarnation++
	n.life++
	n.up, n.paused = true, false
	n.entry.Incarnation = n.incarnation
	n.entry.State = state
	options := n.world.options
	options.Seed = n.world.random.Uint64()
	n.fleet = member.New(n.entry, options, n.world.now)
	n.fleet.AddContacts(contacts)
	n.loop(n.life)
}

func (n *node) stop() {
	n.up = false
	n.life++
}

func (n *node) resume() {
	n.paused = false
	missed := n.missed
	n.missed = nil
	for _, run := range missed {
		n.world.after(0, run)
	}
}

// loop ticks the node about every fifth of a second until its life ends.
func (n *node) loop(life int) {
	w := n.world
	w.after(150*time.Millisecond+time.Duration(w.random.Int64N(int64(100*time.Millisecond))), func() {
		n.do(life, func() {
			for _, action := range n.fleet.Tick(w.now) {
				n.call(action)
			}
			n.events = append(n.events, n.fleet.Events()...)
			if w.check != nil {
				w.check(n)
			}
			n.loop(life)
		})
	})
}

// do runs the function in that life, later if the node is paused.
func (n *node) do(life int, run func()) {
	switch {
	case !n.up || n.life != life:
	case n.paused:
		n.missed = append(n.missed, func() { n.do(life, run) })
	default:
		run()
	}
}

// call carries out an action; a lost message or answer looks to the caller like silence.
func (n *node) call(action member.Action) {
	w, life := n.world, n.life
	answered := false
	w.after(callTimeout, func() {
		n.do(life, func() {
			if answered {
				return
			}
			answered = true
			for _, next := range n.fleet.HandleCallFailure(w.now, action) {
				n.call(next)
			}
		})
	})
	n.send(action.Address, func(to *node) func() {
		apply := to.answer(n, action)

		return func() {
			if !answered {
				answered = true
				apply()
			}
		}
	})
}

// send runs the request at the addressed node and its result back here, if both get through.
func (n *node) send(address string, request func(to *node) func()) {
	w, life := n.world, n.life
	to, found := w.byID[address]
	w.sent++
	if !found || !w.passes(n, to) {
		return
	}
	w.after(w.lag(), func() {
		to.do(to.life, func() {
			apply := request(to)
			if !w.passes(to, n) {
				return
			}
			w.after(w.lag(), func() { n.do(life, apply) })
		})
	})
}

func (w *world) passes(from, to *node) bool {
	return w.random.Float64() >= w.loss && !w.cut(from.entry.DataCentre, to.entry.DataCentre)
}

func (w *world) lag() time.Duration {
	return time.Duration(w.random.Int64N(int64(2*w.delay))) + 1
}

// answer handles the action at this node and returns what the caller does with the answer.
func (n *node) answer(from *node, action member.Action) func() {
	w := n.world
	switch action.Kind {
	case member.ActionSync:
		difference := n.fleet.HandleSync(w.now, action.Digest)

		return func() {
			for _, next := range from.fleet.HandleSyncResponse(w.now, action, difference) {
				from.call(next)
			}
		}
	case member.ActionIndirectProbe:
		ok := false
		n.send(action.IndirectProbe.Address, func(to *node) func() {
			reply := to.fleet.HandleExchange(w.now, n.fleet.IndirectProbeExchange(w.now, action.IndirectProbe).Message)

			return func() {
				n.fleet.HandleExchangeResponse(w.now, action, reply)
				w.after(w.lag(), func() { from.do(from.life, func() { from.fleet.HandleIndirectProbeResponse(w.now, action, true) }) })
			}
		})

		return func() { from.fleet.HandleIndirectProbeResponse(w.now, action, ok) }
	default:
		reply := n.fleet.HandleExchange(w.now, action.Message)

		return func() { from.fleet.HandleExchangeResponse(w.now, action, reply) }
	}
}

// view returns what the node believes of another one, nil if nothing.
func (n *node) view(id string) *member.Entry {
	for _, entry := range n.fleet.Entries(n.world.now) {
		if entry.ID == id {
			return &entry
		}
	}

	return nil
}

// disagreement describes the first difference between what the running nodes believe and what is so, empty for none.
func (w *world) disagreement() string {
	for _, observer := range w.nodes {
		if !observer.up || observer.paused {
			continue
		}
		believed := map[string]member.Entry{}
		for _, entry := range observer.fleet.Entries(w.now) {
			believed[entry.ID] = entry
		}
		for _, subject := range w.nodes {
			entry, known := believed[subject.entry.ID]
			if problem := compare(subject, entry, known); problem != "" {
				return fmt.Sprintf("%s of %s: %s", observer.entry.ID, subject.entry.ID, problem)
			}
		}
	}

	return ""
}

func compare(subject *node, entry member.Entry, known bool) string {
	if !subject.up {
		if known && !entry.State.Ended() {
			return fmt.Sprintf("gone but %s", entry.State)
		}

		return ""
	}
	actual := subject.fleet.Self()
	if !known {
		return "unknown"
	}
	if entry.State != actual.State || entry.Incarnation != actual.Incarnation || entry.Version != actual.Version {
		return fmt.Sprintf("%s %d.%d but is %s %d.%d", entry.State, entry.Incarnation, entry.Version,
			actual.State, actual.Incarnation, actual.Version)
	}

	return ""
}
