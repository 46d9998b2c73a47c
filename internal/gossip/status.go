package gossip

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/pistachiotack/pistachiotack/internal/admin"
	"github.com/pistachiotack/pistachiotack/internal/holder"
	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/peers"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// PathStatus is the operators' page with the fleet as this node sees it.
const PathStatus = "/status"

// Status is the fleet as one node sees it.
type Status struct {
	Node        string             `json:"node"`
	DataCentre  string             `json:"dataCentre"`
	Service     string             `json:"service"`
	State       member.State       `json:"state"`
	Incarnation uint64             `json:"incarnation"`
	Revision    uint64             `json:"revision"`
	Trial       string             `json:"trial,omitempty"`
	Up          string             `json:"up"`
	DataCentres []DataCentreStatus `json:"dataCentres"`
	// Degraded says in words what is not as it should be.
	Degraded []string `json:"degraded"`
	// Control is the traffic of the control channel since the start.
	Control peers.Traffic  `json:"control"`
	Members []MemberStatus `json:"members"`
}

// DataCentreStatus counts the members of one data centre by state.
type DataCentreStatus struct {
	Name   string       `json:"name"`
	States []StateCount `json:"states"`
}

// StateCount is the number of members in one state.
type StateCount struct {
	State member.State `json:"state"`
	Count int          `json:"count"`
}

// MemberStatus is one member; its revision is the one last heard, which may lag.
type MemberStatus struct {
	ID         string       `json:"id"`
	DataCentre string       `json:"dataCentre"`
	Service    string       `json:"service"`
	State      member.State `json:"state"`
	Revision   uint64       `json:"revision"`
}

// settings is what status shows of the holder.
type settings interface {
	Degraded() []string
	Status() holder.Status
}

// traffic is what status shows of the control channel.
type traffic interface {
	Traffic() peers.Traffic
}

// Routes returns the pages for the operators' listener.
func (g *Gossip) Routes() []admin.Route {
	return []admin.Route{{Method: consts.MethodGet, Path: PathStatus, Handle: func(_ context.Context, c *app.RequestContext) {
		c.JSON(consts.StatusOK, g.Status())
	}}}
}

// Status returns the fleet as this node sees it.
func (g *Gossip) Status() Status {
	self := g.Self()
	seen := g.view.Load()
	status := Status{
		Node: self.ID, DataCentre: self.DataCentre, Service: self.Service, State: self.State,
		Incarnation: self.Incarnation, Revision: self.Revision,
		Up:          time.Since(g.began).Round(time.Second).String(),
		DataCentres: countStates(seen.entries),
		Degraded:    g.degraded(seen),
	}
	for _, entry := range seen.entries {
		status.Members = append(status.Members, MemberStatus{
			ID: entry.ID, DataCentre: entry.DataCentre, Service: entry.Service, State: entry.State, Revision: entry.Revision,
		})
	}
	if held, err := kernel.Find[settings](g.kernel, "holder"); err == nil {
		status.Trial = held.Status().Trial
	}
	if counted, err := kernel.Find[traffic](g.kernel, "control"); err == nil {
		status.Control = counted.Traffic()
	}

	return status
}

// degraded says in words what is wrong with the node's view, its settings and the table.
func (g *Gossip) degraded(seen *view) []string {
	degraded := []string{}
	for _, cut := range seen.cutOffs {
		degraded = append(degraded, fmt.Sprintf("data centre %s gave no answer for %s", cut.DataCentre, time.Since(cut.Since).Round(time.Second)))
	}
	for _, entry := range seen.living {
		if entry.State == member.StateSuspect && !slices.ContainsFunc(seen.cutOffs, func(c member.UnreachableDataCentre) bool { return c.DataCentre == entry.DataCentre }) {
			degraded = append(degraded, fmt.Sprintf("member %s in %s is suspect", entry.ID, entry.DataCentre))
		}
	}
	if held, err := kernel.Find[settings](g.kernel, "holder"); err == nil {
		degraded = append(degraded, held.Degraded()...)
	}

	return degraded
}

// countStates counts members by data centre and state, both in order of their names.
func countStates(entries []member.Entry) []DataCentreStatus {
	counts := map[string]map[member.State]int{}
	for _, entry := range entries {
		if counts[entry.DataCentre] == nil {
			counts[entry.DataCentre] = map[member.State]int{}
		}
		counts[entry.DataCentre][entry.State]++
	}
	var all []DataCentreStatus
	for name, states := range counts {
		one := DataCentreStatus{Name: name}
		for state, count := range states {
			one.States = append(one.States, StateCount{State: state, Count: count})
		}
		slices.SortFunc(one.States, func(a, b StateCount) int { return cmp.Compare(a.State, b.State) })
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b DataCentreStatus) int { return cmp.Compare(a.Name, b.Name) })

	return all
}
