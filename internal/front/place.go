package front

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/route"
)

// placing are the bounds of the choice of a node.
var placing = route.Settings{
	// SlowStart is about as long as a backend server is slow after its start.
	SlowStart:  3 * time.Second,
	SpillAt:    0.7,
	EjectAfter: 2,
	EjectFor:   time.Second,
	EjectShare: 0.5,
}

// placer chooses the node for each attempt.
type placer struct {
	node       string
	dataCentre string
	seed       uint64

	mu     sync.Mutex
	tables map[string]*route.Table
	views  map[string][]member.Entry
}

func newPlacer(node, dataCentre string, seed uint64) *placer {
	return &placer{
		node:       node,
		dataCentre: dataCentre,
		seed:       seed,
		tables:     map[string]*route.Table{},
		views:      map[string][]member.Entry{},
	}
}

// choose returns the node for an attempt, and counts the attempt until done.
func (p *placer) choose(now time.Time, service string, members []member.Entry, tried []string) (route.Choice, *call.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	table := p.tables[service]
	if table == nil {
		table = route.New(p.node, p.dataCentre, rand.New(rand.NewPCG(p.seed, uint64(len(p.tables)))))
		p.tables[service] = table
	}
	if !sameView(p.views[service], members) {
		table.Update(now, members, 0, placing)
		p.views[service] = members
	}

	return table.Pick(now, route.Query{Rank: call.MaxRank, Exclude: tried})
}

// done takes the end of an attempt and reports whether it ejected the node.
func (p *placer) done(now time.Time, service string, chosen member.Entry, sample route.Sample, report *wire.Report) bool {
	if report != nil {
		sample.Feedback = &call.Feedback{
			Inflight: report.Running,
			Queued:   report.Waiting,
			Limit:    report.Slots,
			State:    report.State,
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.tables[service].Done(now, chosen.ID, chosen.Incarnation, sample)
}

// sameView reports whether both are the same slice, which membership replaces whole when anything changes.
func sameView(a, b []member.Entry) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
