package load

import (
	"slices"
	"strings"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// Point is what happened in one bucket of time.
type Point struct {
	Seconds float64 `json:"seconds"`
	// Offered counts arrivals, GoodOfOffered those of them that ended well, Good the good answers that came in then.
	Offered          int `json:"offered"`
	GoodOfOffered    int `json:"goodOfOffered"`
	Good             int `json:"good"`
	ImportantOffered int `json:"importantOffered"`
	ImportantGood    int `json:"importantGood"`
}

// KindReport is one kind in one phase.
type KindReport struct {
	Phase   string  `json:"phase"`
	Kind    string  `json:"kind"`
	Service string  `json:"service"`
	Class   string  `json:"class"`
	Offered int     `json:"offered"`
	Good    int     `json:"good"`
	Share   float64 `json:"share"`
	Tries   int     `json:"tries"`
	// Refused, Failed and Timeout say how the requests without a good answer ended, Cut counts tries whose connection broke.
	Refused int           `json:"refused"`
	Failed  int           `json:"failed"`
	Timeout int           `json:"timeout"`
	Cut     int           `json:"cut"`
	P50     time.Duration `json:"p50"`
	P99     time.Duration `json:"p99"`
}

// PhaseReport sums one phase.
type PhaseReport struct {
	Phase   string  `json:"phase"`
	Seconds float64 `json:"seconds"`
	Offered int     `json:"offered"`
	Good    int     `json:"good"`
	// GoodRate is good answers to this phase's requests, a second.
	GoodRate float64 `json:"goodRate"`
	// UsefulShare is the part of the narrowest service's slots that good answers used.
	UsefulShare    float64 `json:"usefulShare"`
	ImportantShare float64 `json:"importantShare"`
}

// RefusalReport counts one reason with one outcome.
type RefusalReport struct {
	Reason  string       `json:"reason"`
	Outcome call.Outcome `json:"outcome"`
	Count   int          `json:"count"`
}

// Attempts are attempts at backend servers for each try of a caller, hops included.
type Attempts struct {
	Mean float64 `json:"mean"`
	P99  int     `json:"p99"`
	Max  int     `json:"max"`
}

// Violations are broken promises, each has to be zero.
type Violations struct {
	Wrong         int `json:"wrong"`
	Torn          int `json:"torn"`
	NotRunThatRan int `json:"notRunThatRan"`
	RepeatedKeys  int `json:"repeatedKeys"`
	HopWrong      int `json:"hopWrong"`
}

// Sum returns the number of broken promises.
func (v Violations) Sum() int {
	return v.Wrong + v.Torn + v.NotRunThatRan + v.RepeatedKeys + v.HopWrong
}

// Broken is one request that ran though its caller was told notRun.
type Broken struct {
	Kind    string      `json:"kind"`
	Request string      `json:"request"`
	Reason  string      `json:"reason"`
	Record  fake.Record `json:"record"`
}

// Report is all that was seen in one run.
type Report struct {
	Name     string  `json:"name"`
	Variant  string  `json:"variant"`
	Example  string  `json:"example"`
	Seed     uint64  `json:"seed"`
	Scale    int     `json:"scale"`
	Capacity float64 `json:"capacity"`
	// Narrowest is the service that bounds the capacity.
	Narrowest string        `json:"narrowest"`
	Phases    []PhaseReport `json:"phases"`
	Kinds     []KindReport  `json:"kinds"`
	Recovered bool          `json:"recovered"`
	// Recovery is the time from the end of the trigger to 95% of the success before.
	Recovery time.Duration `json:"recovery"`
	Attempts Attempts      `json:"attempts"`
	// WastedShare is the part of slot time that went into requests without a good answer.
	WastedShare float64         `json:"wastedShare"`
	WastedRuns  int             `json:"wastedRuns"`
	Refusals    []RefusalReport `json:"refusals"`
	Violations  Violations      `json:"violations"`
	// Broken holds a few of the requests whose promise was broken.
	Broken  []Broken `json:"broken,omitempty"`
	Dropped int      `json:"dropped"`
	Series  []Point  `json:"series"`
}

func (t *tally) report(before, after fake.Totals) *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	plan := t.plan
	r := &Report{Name: plan.Name, Variant: plan.Variant, Example: plan.Example.Name, Seed: plan.Seed, Scale: plan.Example.Scale, Series: t.series}
	r.Capacity, r.Narrowest = plan.Example.Capacity()
	for i, phase := range plan.Phases {
		r.Phases = append(r.Phases, t.phase(i, phase, r.Narrowest))
		for k, kind := range plan.Example.Kinds {
			r.Kinds = append(r.Kinds, kindReport(phase.Name, kind, t.cells[i][k]))
			r.Dropped += t.cells[i][k].byEnd[verdictDropped]
			r.Violations.Wrong += t.cells[i][k].byEnd[verdictWrong]
			r.Violations.Torn += t.cells[i][k].byEnd[verdictTorn]
		}
	}
	for key, count := range t.refusals {
		r.Refusals = append(r.Refusals, RefusalReport{Reason: key.reason, Outcome: key.outcome, Count: count})
	}
	slices.SortFunc(r.Refusals, func(x, y RefusalReport) int {
		if x.Count != y.Count {
			return y.Count - x.Count
		}

		return strings.Compare(x.Reason+string(x.Outcome), y.Reason+string(y.Outcome))
	})
	r.Recovery, r.Recovered = recovery(t.series, plan.Phases)
	r.Violations.HopWrong = after.HopWrong - before.HopWrong
	t.executions(r)

	return r
}

func kindReport(phase string, kind Kind, in cell) KindReport {
	return KindReport{
		Phase: phase, Kind: kind.Name, Service: kind.Service, Class: kind.Class.String(),
		Offered: in.offered, Good: in.good, Share: share(in.good, in.offered), Tries: in.tries,
		Refused: in.byEnd[verdictRefused],
		Failed:  in.byEnd[verdictFailed] + in.byEnd[verdictConnect] + in.byEnd[verdictCut],
		Cut:     in.cuts,
		Timeout: in.byEnd[verdictTimeout],
		P50:     time.Duration(in.latency.ValueAtQuantile(50)) * time.Microsecond,
		P99:     time.Duration(in.latency.ValueAtQuantile(99)) * time.Microsecond,
	}
}

func (t *tally) phase(number int, phase Phase, narrowest string) PhaseReport {
	example := t.plan.Example
	report := PhaseReport{Phase: phase.Name, Seconds: phase.Time.Seconds()}
	used := map[string]float64{}
	important, importantGood := 0, 0
	for k, kind := range example.Kinds {
		in := t.cells[number][k]
		report.Offered += in.offered
		report.Good += in.good
		example.demand(kind, float64(in.good), used)
		if t.important(k) {
			important += in.offered
			importantGood += in.good
		}
	}
	report.ImportantShare = share(importantGood, important)
	report.GoodRate = float64(report.Good) / report.Seconds
	for _, service := range example.Services {
		if service.Name == narrowest {
			report.UsefulShare = used[narrowest] / (report.Seconds * float64(service.Targets*example.Slots(service)))
		}
	}

	return report
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}

	return float64(part) / float64(whole)
}

// maxBroken bounds the broken promises that are named.
const maxBroken = 10

func (r *Report) name(broken Broken) {
	if len(r.Broken) < maxBroken {
		r.Broken = append(r.Broken, broken)
	}
}

// executions compares what callers were told with what backend servers did; the caller holds the lock.
func (t *tally) executions(r *Report) {
	ledger := t.plan.Ledger
	if ledger == nil || len(t.ends) == 0 {
		return
	}
	var wasted, busy time.Duration
	counts := make([]int, 0, len(t.ends))
	total := 0
	for _, end := range t.ends {
		record := ledger.Request(end.id)
		counts = append(counts, record.Arrivals)
		total += record.Arrivals
		busy += record.Busy
		if end.outcome == call.OutcomeNotRun && record.RootRuns > 0 {
			r.Violations.NotRunThatRan++
			r.name(Broken{Kind: end.kind, Request: end.id, Reason: end.reason, Record: record})
		}
		if !end.good {
			wasted += record.Busy
			r.WastedRuns += record.Runs
		}
	}
	slices.Sort(counts)
	r.Attempts = Attempts{Mean: float64(total) / float64(len(counts)), P99: counts[len(counts)*99/100], Max: counts[len(counts)-1]}
	if busy > 0 {
		r.WastedShare = float64(wasted) / float64(busy)
	}
	r.Violations.RepeatedKeys = ledger.RepeatedKeys(t.plan.Prefix)
}
