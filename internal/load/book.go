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

// book takes down all that happens in a run.
type book struct {
	plan  Plan
	began time.Time

	mu       sync.Mutex
	cells    [][]cell
	series   []Point
	refusals map[refusalKey]int
	ends     []ended
}

func newBook(plan Plan) *book {
	b := &book{plan: plan, began: time.Now(), refusals: map[refusalKey]int{}}
	total := time.Duration(0)
	for _, phase := range plan.Phases {
		total += phase.Time
		cells := make([]cell, len(plan.Example.Kinds))
		for i := range cells {
			cells[i] = cell{byEnd: map[verdict]int{}, latency: hdrhistogram.New(latencyMin, latencyMax, latencyDigits)}
		}
		b.cells = append(b.cells, cells)
	}
	b.series = make([]Point, total/bucket+1)
	for i := range b.series {
		b.series[i].Seconds = (time.Duration(i) * bucket).Seconds()
	}

	return b
}

func (b *book) offer(from arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cells[from.phase][from.kind].offered++
	point := &b.series[from.at/bucket]
	point.Offered++
	if b.important(from.kind) {
		point.ImportantOffered++
	}
}

func (b *book) important(kind int) bool {
	return b.plan.Example.Kinds[kind].Class == call.ClassVital
}

func (b *book) finish(from arrival, tries []try, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	in := &b.cells[from.phase][from.kind]
	in.tries += len(tries)
	last := tries[len(tries)-1]
	in.byEnd[last.verdict]++
	if last.verdict == verdictGood {
		b.good(in, from, took)
	}
	for i, each := range tries {
		if each.verdict == verdictCut {
			in.cuts++
		}
		if i+1 == len(tries) || tries[i+1].id != each.id {
			b.ends = append(b.ends, ended{id: each.id, kind: b.plan.Example.Kinds[from.kind].Name, reason: each.reason, outcome: each.outcome, good: each.verdict == verdictGood})
		}
		if each.verdict == verdictRefused || each.verdict == verdictFailed {
			b.refusals[refusalKey{reason: each.reason, outcome: each.outcome}]++
		}
	}
}

// good counts a success where it arrived and where it ended; the caller holds the lock.
func (b *book) good(in *cell, from arrival, took time.Duration) {
	in.good++
	_ = in.latency.RecordValue(max(latencyMin, min(latencyMax, took.Microseconds())))
	point := &b.series[from.at/bucket]
	point.GoodOfOffered++
	if b.important(from.kind) {
		point.ImportantGood++
	}
	if at := int((from.at + took) / bucket); at < len(b.series) {
		b.series[at].Good++
	}
}

// latest sums the points of the span that ended just now.
func (b *book) latest(span time.Duration) Point {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := int(time.Since(b.began) / bucket)
	sum := Point{Seconds: time.Since(b.began).Seconds()}
	for i := max(0, now-int(span/bucket)); i < now && i < len(b.series); i++ {
		sum.Offered += b.series[i].Offered
		sum.Good += b.series[i].Good
		sum.GoodOfOffered += b.series[i].GoodOfOffered
		sum.ImportantOffered += b.series[i].ImportantOffered
		sum.ImportantGood += b.series[i].ImportantGood
	}

	return sum
}
