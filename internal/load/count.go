package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// bucket is the resolution of goodput over time.
const bucket = 250 * time.Millisecond

// Latencies are recorded in microseconds between these bounds.
const (
	latencyMin    = 1
	latencyMax    = 60_000_000
	latencyDigits = 2
)

// cell counts one kind in one phase.
type cell struct {
	offered int
	good    int
	tries   int
	cuts    int
	byEnd   map[verdict]int
	latency *hdrhistogram.Histogram
}

// refusalKey tells refusals apart.
type refusalKey struct {
	reason  string
	outcome call.Outcome
}

// ended is one try whose executions are looked up after the run.
type ended struct {
	id      string
	kind    string
	reason  string
	outcome call.Outcome
	good    bool
}

// tally takes down all that happens in a run.
type tally struct {
	plan  Plan
	began time.Time

	mu       sync.Mutex
	cells    [][]cell
	series   []Point
	refusals map[refusalKey]int
	ends     []ended
}

func newTally(plan Plan) *tally {
	t := &tally{plan: plan, began: time.Now(), refusals: map[refusalKey]int{}}
	total := time.Duration(0)
	for _, phase := range plan.Phases {
		total += phase.Time
		cells := make([]cell, len(plan.Example.Kinds))
		for i := range cells {
			cells[i] = cell{byEnd: map[verdict]int{}, latency: hdrhistogram.New(latencyMin, latencyMax, latencyDigits)}
		}
		t.cells = append(t.cells, cells)
	}
	t.series = make([]Point, total/bucket+1)
	for i := range t.series {
		t.series[i].Seconds = (time.Duration(i) * bucket).Seconds()
	}

	return t
}

func (t *tally) offer(from arrival) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cells[from.phase][from.kind].offered++
	point := &t.series[from.at/bucket]
	point.Offered++
	if t.important(from.kind) {
		point.ImportantOffered++
	}
}

func (t *tally) important(kind int) bool {
	return t.plan.Example.Kinds[kind].Class == call.ClassVital
}

func (t *tally) finish(from arrival, tries []try, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	in := &t.cells[from.phase][from.kind]
	in.tries += len(tries)
	last := tries[len(tries)-1]
	in.byEnd[last.verdict]++
	if last.verdict == verdictGood {
		t.good(in, from, took)
	}
	for i, each := range tries {
		if each.verdict == verdictCut {
			in.cuts++
		}
		if i+1 == len(tries) || tries[i+1].id != each.id {
			t.ends = append(t.ends, ended{id: each.id, kind: t.plan.Example.Kinds[from.kind].Name, reason: each.reason, outcome: each.outcome, good: each.verdict == verdictGood})
		}
		if each.verdict == verdictRefused || each.verdict == verdictFailed {
			t.refusals[refusalKey{reason: each.reason, outcome: each.outcome}]++
		}
	}
}

// good counts a success where it arrived and where it ended; the caller holds the lock.
func (t *tally) good(in *cell, from arrival, took time.Duration) {
	in.good++
	_ = in.latency.RecordValue(max(latencyMin, min(latencyMax, took.Microseconds())))
	point := &t.series[from.at/bucket]
	point.GoodOfOffered++
	if t.important(from.kind) {
		point.ImportantGood++
	}
	if at := int((from.at + took) / bucket); at < len(t.series) {
		t.series[at].Good++
	}
}

// latest sums the points of the span that ended just now.
func (t *tally) latest(span time.Duration) Point {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := int(time.Since(t.began) / bucket)
	sum := Point{Seconds: time.Since(t.began).Seconds()}
	for i := max(0, now-int(span/bucket)); i < now && i < len(t.series); i++ {
		sum.Offered += t.series[i].Offered
		sum.Good += t.series[i].Good
		sum.GoodOfOffered += t.series[i].GoodOfOffered
		sum.ImportantOffered += t.series[i].ImportantOffered
		sum.ImportantGood += t.series[i].ImportantGood
	}

	return sum
}
