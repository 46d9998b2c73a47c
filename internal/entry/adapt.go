package entry

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/trace"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/route"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// statusFault is the lowest HTTP status that blames the backend server.
const statusFault = 500

// AdaptiveOptions are the fixed properties of the adaptive chooser and retrier.
type AdaptiveOptions struct {
	Node       string
	DataCentre string
	Seed       uint64
	Tracer     Tracer
	// EntryNodes returns the number of entries in the fleet, nil if unknown.
	EntryNodes func() int
}

// AdaptiveChooser picks targets by what this entry has seen of them and by what they report.
type AdaptiveChooser struct {
	options AdaptiveOptions

	mu     sync.RWMutex
	tables map[string]*serviceTable
}

// NewAdaptiveChooser returns a chooser that knows nothing yet.
func NewAdaptiveChooser(options AdaptiveOptions) *AdaptiveChooser {
	return &AdaptiveChooser{options: options, tables: map[string]*serviceTable{}}
}

// Choose picks the better of two targets, or refuses below the threshold of all.
func (a *AdaptiveChooser) Choose(now time.Time, query Query, members []member.Entry) (Choice, *call.Refusal) {
	return a.table(query.Service).choose(now, query, members, a.entries())
}

// Done learns from the end of an attempt, and logs an ejection.
func (a *AdaptiveChooser) Done(now time.Time, result Result) {
	if !a.table(result.Service).done(now, result) || a.options.Tracer == nil {
		return
	}
	a.options.Tracer.Decide(trace.Decision{
		Time:    now,
		Step:    trace.StepEject,
		Service: result.Service,
		Chosen:  result.Target,
		Outcome: result.Outcome,
		Reason:  result.Reason,
	})
}

func (a *AdaptiveChooser) entries() int {
	if a.options.EntryNodes == nil {
		return 0
	}

	return a.options.EntryNodes()
}

func (a *AdaptiveChooser) table(service string) *serviceTable {
	a.mu.RLock()
	known := a.tables[service]
	a.mu.RUnlock()
	if known != nil {
		return known
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if known = a.tables[service]; known == nil {
		rng := rand.New(rand.NewPCG(a.options.Seed, uint64(len(a.tables))))
		known = &serviceTable{table: route.New(a.options.Node, a.options.DataCentre, rng)}
		a.tables[service] = known
	}

	return known
}

// serviceTable is the table of one service behind its lock.
type serviceTable struct {
	mu      sync.Mutex
	table   *route.Table
	members []member.Entry
	entries int
	updated bool
}

func (s *serviceTable) choose(now time.Time, query Query, members []member.Entry, entries int) (Choice, *call.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()

	settings := routeSettings(query.Policy)
	if !s.updated || s.entries != entries || !sameSlice(s.members, members) {
		s.table.Update(now, members, entries, settings)
		s.members, s.entries, s.updated = members, entries, true
	}
	s.table.SetSettings(settings)
	choice, refusal := s.table.Pick(now, route.Query{Rank: query.Rank, Kind: query.Policy.Kind, Exclude: query.Tried})
	if refusal != nil {
		return Choice{}, refusal
	}
	candidates := []string{choice.Entry.ID}
	if choice.RunnerUp != "" {
		candidates = append(candidates, choice.RunnerUp)
	}

	return Choice{
		Target:     choice.Entry,
		Candidates: candidates,
		Reason:     choice.Reason,
		Detail:     "of " + strconv.Itoa(choice.Candidates) + ", cost " + strconv.FormatFloat(choice.Cost, 'f', 2, 64),
	}, nil
}

func (s *serviceTable) done(now time.Time, result Result) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	sample := route.Sample{Verdict: verdictOf(result), Kind: result.Kind}
	if result.HasFeedback {
		sample.Feedback = &result.Feedback
	}

	return s.table.Done(now, result.Target, result.Incarnation, sample)
}

// verdictOf blames the target for its own faults, not for those of services that it calls.
func verdictOf(result Result) route.Verdict {
	if result.Unresponsive {
		return route.VerdictFault
	}
	if result.Outcome != call.OutcomeRan || result.Status < statusFault {
		return route.VerdictFor(result.Outcome, result.Reason)
	}
	if result.Feedback.Final {
		return route.VerdictNeutral
	}

	return route.VerdictFault
}

// sameSlice reports whether both are the same view, which membership replaces whole when anything changes.
func sameSlice(a, b []member.Entry) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func routeSettings(policy tree.Policy) route.Settings {
	return route.Settings{
		SlowStart:  policy.SlowStart,
		SpillAt:    policy.SpillAt,
		EjectAfter: policy.EjectAfter,
		EjectFor:   policy.EjectFor,
		EjectShare: policy.EjectShare,
		Subset:     policy.Subset,
		RetryAfter: policy.RetryAfter,
		Drain:      policy.DrainTarget,
	}
}
