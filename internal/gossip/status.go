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

// PathStatus is the path of the operators' page that shows the fleet as this node sees it.
const PathStatus = "/status"

// Status describes a node and the fleet as that node sees it.
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
	// Degraded describes the current problems, each in one line of text.
	Degraded []string `json:"degraded"`
	// Control counts the traffic of the control channel since the start of the node.
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

// MemberStatus describes one member. Its settings revision is the last one received, and may be out of date.
type MemberStatus struct {
	ID         string       `json:"id"`
	DataCentre string       `json:"dataCentre"`
	Service    string       `json:"service"`
	State      member.State `json:"state"`
	Revision   uint64       `json:"revision"`
}

// settingsSource is the part of the service `holder` (the settings) that the status shows.
type settingsSource interface {
	Degraded() []string
	Status() holder.Status
}

// trafficSource is the part of the service `control` that the status shows.
type trafficSource interface {
	Traffic() peers.Traffic
}

// Routes returns the routes for the operators' listener.
func (g *Gossip) Routes() []admin.Route {
	return []admin.Route{{Method: consts.MethodGet, Path: PathStatus, Handle: func(_ context.Context, c *app.RequestContext) {
		c.JSON(consts.StatusOK, g.Status())
	}}}
}

// Status returns the fleet as this node sees it.
func (g *Gossip) Status() Status {
	self := g.Self()
	current := g.view.Load()
	status := Status{
		Node: self.ID, DataCentre: self.DataCentre, Service: self.Service, State: self.State,
		Incarnation: self.Incarnation, Revision: self.Revision,
		Up:          time.Since(g.startedAt).Round(time.Second).String(),
		DataCentres: countStates(current.entries),
		Degraded:    g.degraded(current),
	}
	for _, entry := range current.entries {
		status.Members = append(status.Members, MemberStatus{
			ID: entry.ID, DataCentre: entry.DataCentre, Service: entry.Service, State: entry.State, Revision: entry.Revision,
		})
	}
	if source, err := kernel.Find[settingsSource](g.kernel, "holder"); err == nil {
		status.Trial = source.Status().Trial
	}
	if source, err := kernel.Find[trafficSource](g.kernel, "control"); err == nil {
		status.Control = source.Traffic()
	}

	return status
}

// degraded describes unreachable data centres, suspect members of the others, and problems with the settings and the table.
func (g *Gossip) degraded(current *view) []string {
	degraded := []string{}
	for _, unreachable := range current.unreachable {
		degraded = append(degraded, fmt.Sprintf("data centre %s gave no answer for %s", unreachable.DataCentre, time.Since(unreachable.Since).Round(time.Second)))
	}
	for _, entry := range current.live {
		if entry.State == member.StateSuspect && !slices.ContainsFunc(current.unreachable, func(c member.UnreachableDataCentre) bool { return c.DataCentre == entry.DataCentre }) {
			degraded = append(degraded, fmt.Sprintf("member %s in %s is suspect", entry.ID, entry.DataCentre))
		}
	}
	if source, err := kernel.Find[settingsSource](g.kernel, "holder"); err == nil {
		degraded = append(degraded, source.Degraded()...)
	}

	return degraded
}

// countStates counts members by data centre and state, both sorted by name.
func countStates(entries []member.Entry) []DataCentreStatus {
	counts := map[string]map[member.State]int{}
	for _, entry := range entries {
		if counts[entry.DataCentre] == nil {
			counts[entry.DataCentre] = map[member.State]int{}
		}
		counts[entry.DataCentre][entry.State]++
	}
	var dataCentres []DataCentreStatus
	for name, states := range counts {
		dataCentre := DataCentreStatus{Name: name}
		for state, count := range states {
			dataCentre.States = append(dataCentre.States, StateCount{State: state, Count: count})
		}
		slices.SortFunc(dataCentre.States, func(a, b StateCount) int { return cmp.Compare(a.State, b.State) })
		dataCentres = append(dataCentres, dataCentre)
	}
	slices.SortFunc(dataCentres, func(a, b DataCentreStatus) int { return cmp.Compare(a.Name, b.Name) })

	return dataCentres
}
