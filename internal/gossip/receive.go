package gossip

import (
	"context"
	"time"

	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// Methods of membership on the control listener.
const (
	receiverName   = "Fleet"
	methodExchange = receiverName + ".Exchange"
	methodSync     = receiverName + ".Sync"
	methodReach    = receiverName + ".Reach"
)

// Receiver serves the calls of other nodes.
type Receiver struct {
	gossip *Gossip
}

// Exchange takes in another node's news and answers with this node's.
func (r *Receiver) Exchange(message member.Message, reply *member.Message) error {
	r.gossip.step(context.Background(), func(now time.Time) []member.Action {
		*reply = r.gossip.fleet.HandleExchange(now, message)

		return nil
	})

	return nil
}

// Sync answers a digest with the entries of the parts that differ.
func (r *Receiver) Sync(digest member.Digest, reply *member.Difference) error {
	r.gossip.step(context.Background(), func(now time.Time) []member.Action {
		*reply = r.gossip.fleet.HandleSync(now, digest)

		return nil
	})

	return nil
}

// Reach tries to exchange with a third node and says whether that answered.
func (r *Receiver) Reach(reach member.IndirectProbe, ok *bool) error {
	g := r.gossip
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout/2)
	defer cancel()
	var action member.Action
	g.step(ctx, func(now time.Time) []member.Action {
		action = g.fleet.IndirectProbeExchange(now, reach)

		return nil
	})
	var reply member.Message
	if err := g.control.Call(ctx, g.addressOf(reach.Subject, reach.Address), methodExchange, action.Message, &reply); err != nil {
		return nil //nolint:nilerr // an unreachable subject is the answer, not a fault of this call
	}
	g.step(ctx, func(now time.Time) []member.Action {
		g.fleet.HandleExchangeResponse(now, action, reply)

		return nil
	})
	*ok = true

	return nil
}
