package node

import (
	"github.com/pistachiotack/pistachiotack/internal/gossip"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// newGossip returns the gossip service, by which the node takes part in the fleet's membership.
func (n *Node) newGossip() *gossip.Gossip {
	fleet := n.settings.Fleet

	return gossip.New(gossip.Options{
		Self: member.Entry{
			ID:          n.settings.Name,
			Incarnation: n.incarnation,
			DataCentre:  n.settings.DataCentre,
			Service:     n.settings.Service,
			Slots:       n.settings.Backend.Slots,
			Connections: n.settings.Backend.Connections,
		},
		Timing: member.Options{
			GossipInterval: fleet.Gossip.Std(),
			ProbeInterval:  fleet.Probe.Std(),
			SuspectTimeout: fleet.Suspect.Std(),
			Seed:           n.incarnation,
		},
		Seeds:           fleet.Seeds,
		Targets:         fleet.Targets,
		ContactInterval: fleet.Contacts.Std(),
		Log:             n.log,
	})
}
