package gossip

import (
	"context"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// RPC methods of the membership protocol on the control listener.
const (
	receiverName   = "Fleet"
	methodExchange = receiverName + ".Exchange"
	methodSync     = receiverName + ".Sync"
	methodReach    = receiverName + ".Reach"
)

// Receiver serves the membership calls of other nodes.
type Receiver struct {
	gossip *Gossip
}

// Exchange merges the updates of another node and replies with this node's.
func (r *Receiver) Exchange(message member.Message, reply *member.Message) error {
	r.gossip.apply(context.Background(), func(now time.Time) []member.Action {
		*reply = r.gossip.fleet.HandleExchange(now, message)

		return nil
	})

	return nil
}

// Sync replies to a digest with the entries in the buckets whose checksums differ.
func (r *Receiver) Sync(digest member.Digest, reply *member.Difference) error {
	r.gossip.apply(context.Background(), func(now time.Time) []member.Action {
		*reply = r.gossip.fleet.HandleSync(now, digest)

		return nil
	})

	return nil
}

// Reach performs an indirect probe: it calls a third node on the caller's behalf and replies whether that node responded.
func (r *Receiver) Reach(reach member.IndirectProbe, ok *bool) error {
	g := r.gossip
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout/2)
	defer cancel()
	var action member.Action
	g.apply(ctx, func(now time.Time) []member.Action {
		action = g.fleet.IndirectProbeExchange(now, reach)

		return nil
	})
	var reply member.Message
	if err := g.control.Call(ctx, g.addressOf(reach.Subject, reach.Address), methodExchange, action.Message, &reply); err != nil {
		return nil //nolint:nilerr // an unreachable subject is a valid result of the probe
	}
	g.apply(ctx, func(now time.Time) []member.Action {
		g.fleet.HandleExchangeResponse(now, action, reply)

		return nil
	})
	*ok = true

	return nil
}
