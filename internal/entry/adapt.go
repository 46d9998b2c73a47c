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

// statusServerError is the lowest HTTP status that reports an error of the backend server.
const statusServerError = 500

// AdaptiveOptions configure an AdaptiveChooser.
type AdaptiveOptions struct {
	Node       string
	DataCentre string
	Seed       uint64
	Tracer     Tracer
	// EntryNodes returns the number of entry nodes in the fleet, which sets the subset size. It is nil if the number is unknown.
	EntryNodes func() int
}

// AdaptiveChooser selects targets by the results of earlier attempts and by the load that the targets report. It is safe for
// concurrent use.
type AdaptiveChooser struct {
	options AdaptiveOptions

	mu     sync.RWMutex
	tables map[string]*serviceTable
}

// NewAdaptiveChooser returns a chooser without any results of attempts.
func NewAdaptiveChooser(options AdaptiveOptions) *AdaptiveChooser {
	return &AdaptiveChooser{options: options, tables: map[string]*serviceTable{}}
}

// Choose selects the better of two targets, or returns a refusal if the rank is below the thresholds of all targets.
func (a *AdaptiveChooser) Choose(now time.Time, query Query, members []member.Entry) (Choice, *call.Refusal) {
	return a.table(query.Service).choose(now, query, members, a.entryNodes())
}

// Done records the result of an attempt, and logs a decision if the result ejects the target.
func (a *AdaptiveChooser) Done(now time.Time, result Result) {
	if !a.table(result.Service).done(now, result) || a.options.Tracer == nil {
		return
	}
	a.options.Tracer.Record(trace.Decision{
		Time:    now,
		Step:    trace.StepEject,
		Service: result.Service,
		Chosen:  result.Target,
		Outcome: result.Outcome,
		Reason:  result.Reason,
	})
}

func (a *AdaptiveChooser) entryNodes() int {
	if a.options.EntryNodes == nil {
		return 0
	}

	return a.options.EntryNodes()
}

func (a *AdaptiveChooser) table(service string) *serviceTable {
	a.mu.RLock()
	table := a.tables[service]
	a.mu.RUnlock()
	if table != nil {
		return table
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if table = a.tables[service]; table == nil {
		rng := rand.New(rand.NewPCG(a.options.Seed, uint64(len(a.tables))))
		table = &serviceTable{table: route.New(a.options.Node, a.options.DataCentre, rng)}
		a.tables[service] = table
	}

	return table
}

// serviceTable is the routing table of one service, guarded by a mutex.
type serviceTable struct {
	mu         sync.Mutex
	table      *route.Table
	members    []member.Entry
	entryNodes int
	updated    bool
}

func (s *serviceTable) choose(now time.Time, query Query, members []member.Entry, entryNodes int) (Choice, *call.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()

	settings := routeSettings(query.Policy)
	if !s.updated || s.entryNodes != entryNodes || !sameSlice(s.members, members) {
		s.table.Update(now, members, entryNodes, settings)
		s.members, s.entryNodes, s.updated = members, entryNodes, true
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

// verdictOf counts a result as a fault of the target only if the target itself failed. A final error response comes from a
// service that the target called, and is neutral.
func verdictOf(result Result) route.Verdict {
	if result.Unresponsive {
		return route.VerdictFault
	}
	if result.Outcome != call.OutcomeRan || result.Status < statusServerError {
		return route.VerdictFor(result.Outcome, result.Reason)
	}
	if result.Feedback.Final {
		return route.VerdictNeutral
	}

	return route.VerdictFault
}

// sameSlice reports whether a and b share their elements. Comparing addresses is enough, as each change of the membership
// creates a new slice.
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
