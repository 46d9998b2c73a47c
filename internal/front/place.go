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

// pickSettings configure slow start, spill-over to distant nodes and the ejection of faulty nodes.
var pickSettings = route.Settings{
	// SlowStart is about the time for which a backend server is slow after its start.
	SlowStart:  3 * time.Second,
	SpillAt:    0.7,
	EjectAfter: 2,
	EjectFor:   time.Second,
	EjectShare: 0.5,
}

// picker picks the node for each attempt.
type picker struct {
	node       string
	dataCentre string
	seed       uint64

	mu      sync.Mutex
	tables  map[string]*route.Table
	members map[string][]member.Entry
}

func newPicker(node, dataCentre string, seed uint64) *picker {
	return &picker{
		node:       node,
		dataCentre: dataCentre,
		seed:       seed,
		tables:     map[string]*route.Table{},
		members:    map[string][]member.Entry{},
	}
}

// pick returns the node for an attempt. The attempt counts as in flight there until done is called.
func (p *picker) pick(now time.Time, service string, members []member.Entry, tried []string) (route.Choice, *call.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	table := p.tables[service]
	if table == nil {
		table = route.New(p.node, p.dataCentre, rand.New(rand.NewPCG(p.seed, uint64(len(p.tables)))))
		p.tables[service] = table
	}
	if !sameSlice(p.members[service], members) {
		table.Update(now, members, 0, pickSettings)
		p.members[service] = members
	}

	return table.Pick(now, route.Query{Rank: call.MaxRank, Exclude: tried})
}

// done records the result of an attempt and reports whether the node was ejected because of it.
func (p *picker) done(now time.Time, service string, chosen member.Entry, sample route.Sample, report *wire.Report) bool {
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

// sameSlice reports whether a and b are the same slice. Membership returns a new slice after each change, so the elements need not
// be compared.
func sameSlice(a, b []member.Entry) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
