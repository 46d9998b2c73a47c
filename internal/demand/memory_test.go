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

// demandWithOverloadedCallee returns the kernel service of a node with a known route whose call trees need an overloaded service.
func demandWithOverloadedCallee(now time.Time) *demand.Demand {
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

func leastImportantRequest() shed.Request {
	return shed.Request{Priority: 2, LowestPriority: 2, Random: 0.5}
}

// All nodes restart during a surge. Without the snapshot, they would admit every request right after the restart.
func TestARestartedNodeAdmitsAsBefore(t *testing.T) {
	now := time.Now()
	snapshot := demandWithOverloadedCallee(now).Snapshot(now)
	later := now.Add(2 * time.Second)

	fresh := demand.New("logboek")
	require.Equal(t, fanout.OriginUnknown, fresh.CountRequest("read", "logboek"))
	require.True(t, fresh.Decide(later, "read", "logboek", leastImportantRequest()).Admitted)

	restored := demand.New("logboek")
	restored.Restore(later, snapshot, now)
	require.Equal(t, fanout.OriginClients, restored.CountRequest("read", "logboek"))
	decision := restored.Decide(later, "read", "logboek", leastImportantRequest())
	require.False(t, decision.Admitted)
	require.Equal(t, "alarm", decision.Service)
	require.True(t, restored.Decide(later, "read", "logboek", shed.Request{Priority: 0, LowestPriority: 2, Random: 0.5}).Admitted)
}

func TestOldLevelsAreNotRestored(t *testing.T) {
	now := time.Now()
	snapshot := demandWithOverloadedCallee(now).Snapshot(now)
	later := now.Add(2 * time.Minute)
	restored := demand.New("logboek")
	restored.Restore(later, snapshot, now)
	require.True(t, restored.Decide(later, "read", "logboek", leastImportantRequest()).Admitted)
	require.Equal(t, fanout.OriginClients, restored.CountRequest("read", "logboek"), "origins do not expire")
}

func TestRestoreKeepsNewerState(t *testing.T) {
	now := time.Now()
	snapshot := demandWithOverloadedCallee(now).Snapshot(now)
	restored := demand.New("logboek")
	restored.HandleReport(now, wire.Hop{Route: "read", Service: "logboek"}, wire.Report{
		Slots: 10, IntegralLevel: 1, Origin: fanout.OriginServers, NeedsKnown: true, Levels: []shed.Level{{Service: "alarm", Value: 1}},
	})
	restored.Restore(now, snapshot, now)
	require.Equal(t, fanout.OriginServers, restored.CountRequest("read", "logboek"))
	require.True(t, restored.Decide(now, "read", "logboek", leastImportantRequest()).Admitted)
}

func TestSimilarToDetectsChangedLevels(t *testing.T) {
	now := time.Now()
	snapshot := demandWithOverloadedCallee(now).Snapshot(now)
	require.True(t, snapshot.SimilarTo(demandWithOverloadedCallee(now).Snapshot(now)))
	changed := demandWithOverloadedCallee(now)
	changed.HandleReport(now.Add(time.Second), wire.Hop{Route: "look", Service: "alarm"}, wire.Report{Slots: 10, IntegralLevel: 0.9})
	require.False(t, changed.Snapshot(now.Add(time.Second)).SimilarTo(snapshot))
	require.False(t, demand.New("logboek").Snapshot(now).SimilarTo(snapshot))
}

// exploringRequests sends requests on a route for a number of tenths of a second while another service is overloaded, and returns
// how many were admitted only to update the needs of the route.
func exploringRequests(d *demand.Demand, now *time.Time, tenths int, route, service string) (explored int) {
	for range tenths {
		*now = now.Add(100 * time.Millisecond)
		d.HandleReport(*now, wire.Hop{Route: "look", Service: "alarm"}, wire.Report{Slots: 10, Levels: []shed.Level{{Service: "alarm", Value: 0.4}}})
		if d.Decide(*now, route, service, leastImportantRequest()).Explores {
			explored++
		}
	}

	return explored
}

// Wrong needs that refuse all requests of a route must be corrected by the requests that are admitted to explore.
func TestWrongNeedsOfARouteAreCorrected(t *testing.T) {
	now := time.Now()
	d := demandWithOverloadedCallee(now)
	require.InDelta(t, 5, exploringRequests(d, &now, 100, "read", "logboek"), 1, "one request in two seconds")
	d.HandleReport(now, wire.Hop{Route: "read", Service: "logboek"}, wire.Report{Slots: 10, NeedsKnown: true})
	for range 10 {
		decision := d.Decide(now, "read", "logboek", leastImportantRequest())
		require.True(t, decision.Admitted)
		require.False(t, decision.Explores)
	}
}

// A route without known needs must not be refused permanently while another service is overloaded.
func TestAnUnknownRouteIsExplored(t *testing.T) {
	now := time.Now()
	require.InDelta(t, 2, exploringRequests(demandWithOverloadedCallee(now), &now, 50, "archive", "certificaat"), 1)
}

// Servers that calls do not reach in time look idle to themselves, so that the level that their callers pass on must fall.
func TestCallsPastTheirDeadlineLowerTheEstimatedLevel(t *testing.T) {
	now := time.Now()
	d := demandWithOverloadedCallee(now)
	require.InDelta(t, 0.4, d.EstimatedLevel(now, "alarm"), 0.001)
	for i := range 200 {
		d.ObserveCall(now, "alarm", i%2 == 0)
	}
	require.InDelta(t, 0.2, d.EstimatedLevel(now, "alarm"), 0.01)
	require.InDelta(t, 1, d.EstimatedLevel(now, "logboek"), 0.001, "another service")
	require.Negative(t, d.EstimatedLevel(now, "certificaat"), "a service without reports")
}
