package credit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/credit"
)

// execution is one execution of a call in the model; responses is the number of copies of its response in transit.
type execution struct {
	ledger    *credit.Ledger
	parent    *execution
	number    int
	depth     int
	responses int
	unspent   credit.Grant
	closed    bool
}

// tree models the call tree of one root request, whose executions act in any order.
type tree struct {
	maxDepth   int
	attempts   int
	retries    int
	executions []*execution
}

func newTree(t *rapid.T) (*tree, credit.Grant) {
	grant := credit.Grant{
		Attempts: rapid.IntRange(0, 80).Draw(t, "attempts"),
		Retries:  rapid.IntRange(0, 10).Draw(t, "retries"),
	}
	limit := rapid.IntRange(1, 27).Draw(t, "limit")
	root := &execution{ledger: credit.NewLedger(grant, 0, limit)}

	return &tree{maxDepth: limit, executions: []*execution{root}}, grant
}

func (m *tree) pick(t *rapid.T) *execution {
	return rapid.SampledFrom(m.executions).Draw(t, "execution")
}

// attempt lets any execution try to make one more attempt, including one that has already responded.
func (m *tree) attempt(t *rapid.T) {
	parent := m.pick(t)
	request := credit.Request{
		Retry: rapid.Bool().Draw(t, "retry"),
		Need:  rapid.IntRange(credit.UnknownNeed, 30).Draw(t, "need"),
	}
	reservation := parent.ledger.Reserve(request)
	if !reservation.OK() {
		return
	}
	m.attempts++
	if request.Retry {
		m.retries++
	}
	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		return
	}
	child := &execution{parent: parent, number: reservation.Number, depth: parent.depth + 1}
	child.ledger = credit.NewLedger(reservation.Grant, child.depth, m.maxDepth)
	m.executions = append(m.executions, child)
}

// respond ends an execution, whose response is lost, delivered once or delivered twice.
func (m *tree) respond(t *rapid.T) {
	e := m.pick(t)
	if e.parent == nil || e.closed {
		return
	}
	e.closed = true
	e.unspent = e.ledger.Close()
	e.responses = rapid.IntRange(0, 2).Draw(t, "copies")
	if e.responses == 0 && rapid.Bool().Draw(t, "noticed") {
		e.parent.ledger.Forfeit(e.number)
	}
}

func (m *tree) deliver(t *rapid.T) {
	e := m.pick(t)
	if e.responses == 0 {
		return
	}
	e.responses--
	e.parent.ledger.Return(e.number, e.unspent)
}

func TestAttemptsNeverExceedTheRootGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, grant := newTree(t)
		t.Repeat(map[string]func(*rapid.T){
			"attempt": m.attempt,
			"retry":   m.attempt,
			"answer":  m.respond,
			"deliver": m.deliver,
			"": func(t *rapid.T) {
				require.LessOrEqual(t, m.attempts, grant.Attempts)
				require.LessOrEqual(t, m.retries, grant.Retries)
				for _, e := range m.executions {
					require.LessOrEqual(t, e.depth, m.maxDepth)
				}
			},
		})
	})
}

func TestCreditsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, grant := newTree(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.attempt(t)
		}
		held := credit.Grant{}
		for _, e := range m.executions {
			held = held.Add(e.ledger.Remaining())
		}
		require.LessOrEqual(t, held.Attempts+m.attempts, grant.Attempts)
		require.LessOrEqual(t, held.Retries+m.retries, grant.Retries)
	})
}

func TestFirstAttemptsReachTheDepthLimit(t *testing.T) {
	for maxDepth := 1; maxDepth <= 27; maxDepth++ {
		for spare := range 40 {
			grant := credit.Grant{Attempts: maxDepth + spare, Retries: 6}
			for depth := range maxDepth {
				reservation := credit.NewLedger(grant, depth, maxDepth).Reserve(credit.Request{Need: credit.UnknownNeed})
				require.True(t, reservation.OK(), "limit %d spare %d depth %d", maxDepth, spare, depth)
				grant = reservation.Grant
			}
			reservation := credit.NewLedger(grant, maxDepth, maxDepth).Reserve(credit.Request{Need: credit.UnknownNeed})
			require.Equal(t, call.ReasonTooDeep, reservation.Reason)
		}
	}
}

func TestReturnIsCreditedOnceAndCappedAtTheGrant(t *testing.T) {
	ledger := credit.NewLedger(credit.Grant{Attempts: 20, Retries: 4}, 0, 5)
	reservation := ledger.Reserve(credit.Request{Need: 3})
	ledger.Return(reservation.Number, credit.Grant{Attempts: 1000, Retries: 1000})
	require.Equal(t, credit.Grant{Attempts: 19, Retries: 4}, ledger.Remaining())

	ledger.Return(reservation.Number, reservation.Grant)
	require.Equal(t, credit.Grant{Attempts: 19, Retries: 4}, ledger.Remaining())
}

func TestForfeitDropsOnlyThatGrant(t *testing.T) {
	ledger := credit.NewLedger(credit.Grant{Attempts: 20, Retries: 4}, 0, 5)
	first := ledger.Reserve(credit.Request{Need: 3})
	second := ledger.Reserve(credit.Request{Need: 3, Retry: true})
	ledger.Forfeit(first.Number)
	ledger.Return(first.Number, first.Grant)
	ledger.ReturnAll(second.Number)
	require.Equal(t, 20-2-first.Grant.Attempts, ledger.Remaining().Attempts)
	require.Equal(t, 4-1-first.Grant.Retries, ledger.Remaining().Retries)
}

func TestRefusedRequestIsPendingOnlyWhileSiblingsHoldCredits(t *testing.T) {
	ledger := credit.NewLedger(credit.Grant{Attempts: 4, Retries: 1}, 0, 27)
	first := ledger.Reserve(credit.Request{Need: credit.UnknownNeed})
	require.Equal(t, 3, first.Grant.Attempts)

	refused := ledger.Reserve(credit.Request{Need: credit.UnknownNeed})
	require.Equal(t, call.ReasonNoCredits, refused.Reason)
	require.True(t, refused.Pending)

	ledger.Return(first.Number, credit.Grant{Attempts: 3})
	require.True(t, ledger.Reserve(credit.Request{Need: 0}).OK())
	ledger.Close()
	require.False(t, ledger.Reserve(credit.Request{Need: 0}).Pending)
}

func TestNeedFollowsObservedSpending(t *testing.T) {
	now := time.Unix(1000, 0)
	var need credit.NeedEstimator
	require.Equal(t, credit.UnknownNeed, need.Estimate(now))

	need.Observe(now, 5, false)
	need.Observe(now, 1, false)
	require.Equal(t, 12, need.Estimate(now))
	require.Equal(t, 12, need.Estimate(now.Add(3*time.Minute)))
	require.Equal(t, credit.UnknownNeed, need.Estimate(now.Add(20*time.Minute)))

	need.Observe(now.Add(21*time.Minute), 2, true)
	require.Equal(t, credit.UnknownNeed, need.Estimate(now.Add(21*time.Minute)))
}
