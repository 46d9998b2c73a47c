package demand_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/demand"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/fanout"
	"github.com/pistachiotack/pistachiotack/pkg/shed"
)

// learned returns what is known of a route whose call trees need a service that is full.
func learned(now time.Time) *demand.Demand {
	d := demand.New("logboek")
	d.HandleReport(now, wire.Hop{Route: "read", Service: "logboek"}, wire.Report{
		Slots:         10,
		IntegralLevel: 1,
		Origin:        fanout.OriginClients,
		NeedsKnown:    true,
		Needs:         []fanout.Need{{Service: "alarm", Calls: 8}},
		Levels:        []shed.Level{{Service: "alarm", Value: 0.4}},
	})
	d.HandleReport(now, wire.Hop{Route: "look", Service: "alarm"}, wire.Report{Slots: 10, IntegralLevel: 0.4})

	return d
}

func unimportant() shed.Request {
	return shed.Request{Priority: 2, LowestPriority: 2, Random: 0.5}
}

// The load is a surge during which all nodes are killed: what comes right after the restart must not be admitted blindly.
func TestARestartedNodeAdmitsAsBefore(t *testing.T) {
	now := time.Now()
	memory := learned(now).Snapshot(now)
	later := now.Add(2 * time.Second)

	fresh := demand.New("logboek")
	require.Equal(t, fanout.OriginUnknown, fresh.CountRequest("read", "logboek"))
	require.True(t, fresh.Decide(later, "read", "logboek", unimportant()).Admitted)

	resumed := demand.New("logboek")
	resumed.Restore(later, memory, now)
	require.Equal(t, fanout.OriginClients, resumed.CountRequest("read", "logboek"))
	decision := resumed.Decide(later, "read", "logboek", unimportant())
	require.False(t, decision.Admitted)
	require.Equal(t, "alarm", decision.Service)
	require.True(t, resumed.Decide(later, "read", "logboek", shed.Request{Priority: 0, LowestPriority: 2, Random: 0.5}).Admitted)
}

func TestOldLevelsAreNotResumed(t *testing.T) {
	now := time.Now()
	memory := learned(now).Snapshot(now)
	later := now.Add(2 * time.Minute)
	resumed := demand.New("logboek")
	resumed.Restore(later, memory, now)
	require.True(t, resumed.Decide(later, "read", "logboek", unimportant()).Admitted)
	require.Equal(t, fanout.OriginClients, resumed.CountRequest("read", "logboek"), "where requests come from does not age")
}

func TestWhatWasLearnedSinceGoesFirst(t *testing.T) {
	now := time.Now()
	memory := learned(now).Snapshot(now)
	resumed := demand.New("logboek")
	resumed.HandleReport(now, wire.Hop{Route: "read", Service: "logboek"}, wire.Report{
		Slots: 10, IntegralLevel: 1, Origin: fanout.OriginServers, NeedsKnown: true, Levels: []shed.Level{{Service: "alarm", Value: 1}},
	})
	resumed.Restore(now, memory, now)
	require.Equal(t, fanout.OriginServers, resumed.CountRequest("read", "logboek"))
	require.True(t, resumed.Decide(now, "read", "logboek", unimportant()).Admitted)
}

func TestOnlyChangesOfConsequenceAreKept(t *testing.T) {
	now := time.Now()
	memory := learned(now).Snapshot(now)
	require.True(t, memory.SimilarTo(learned(now).Snapshot(now)))
	moved := learned(now)
	moved.HandleReport(now.Add(time.Second), wire.Hop{Route: "look", Service: "alarm"}, wire.Report{Slots: 10, IntegralLevel: 0.9})
	require.False(t, moved.Snapshot(now.Add(time.Second)).SimilarTo(memory))
	require.False(t, demand.New("logboek").Snapshot(now).SimilarTo(memory))
}

// asksFor plays requests on a route for a number of tenths of a second, while another service is full, and returns how many were
// admitted only to learn its call trees.
func asksFor(d *demand.Demand, now *time.Time, tenths int, route, service string) (explored int) {
	for range tenths {
		*now = now.Add(100 * time.Millisecond)
		d.HandleReport(*now, wire.Hop{Route: "look", Service: "alarm"}, wire.Report{Slots: 10, Levels: []shed.Level{{Service: "alarm", Value: 0.4}}})
		if d.Decide(*now, route, service, unimportant()).Explores {
			explored++
		}
	}

	return explored
}

// A belief that refuses all of a route's requests is corrected by those that are admitted now and then.
func TestAWrongBeliefAboutARouteIsCorrected(t *testing.T) {
	now := time.Now()
	d := learned(now)
	require.InDelta(t, 5, asksFor(d, &now, 100, "read", "logboek"), 1, "one request in two seconds")
	d.HandleReport(now, wire.Hop{Route: "read", Service: "logboek"}, wire.Report{Slots: 10, NeedsKnown: true})
	for range 10 {
		decision := d.Decide(now, "read", "logboek", unimportant())
		require.True(t, decision.Admitted)
		require.False(t, decision.Explores)
	}
}

// A route of which nothing is known is not refused for ever where another service is full.
func TestAnUnknownRouteIsExplored(t *testing.T) {
	now := time.Now()
	require.InDelta(t, 2, asksFor(learned(now), &now, 50, "archive", "certificaat"), 1)
}
