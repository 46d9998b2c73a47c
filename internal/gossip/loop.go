package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	defaultGossipPeriod = 200 * time.Millisecond
	// tickSpread is the share of a round by which rounds vary, so that nodes do not act in step.
	tickSpread = 0.25
	// soonest is the least time between two rounds.
	soonest = 20 * time.Millisecond
)

func (g *Gossip) gossipPeriod() time.Duration {
	if g.options.Timing.GossipInterval > 0 {
		return g.options.Timing.GossipInterval
	}

	return defaultGossipPeriod
}

// tickLoop runs a round at jittered intervals, and soon after a change of the node itself.
func (g *Gossip) tickLoop(ctx context.Context) error {
	for {
		wait := time.Duration(float64(g.gossipPeriod()) * (1 - tickSpread + 2*tickSpread*rand.Float64()))
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()

			return nil
		case <-g.changes:
			timer.Stop()
			time.Sleep(soonest)
		case <-timer.C:
		}
		g.followRevision()
		g.execute(ctx, g.step(ctx, func(now time.Time) []member.Action { return g.fleet.Tick(now) }))
	}
}

// followRevision lets messages mention the settings revision that is in force at this node.
func (g *Gossip) followRevision() {
	held, err := kernel.Find[revisions](g.kernel, "holder")
	if err != nil {
		return
	}
	g.SetRevision(held.Revision())
}

// revisions is what gossip asks of the holder.
type revisions interface {
	Revision() uint64
}

// step applies one event to the fleet, renews the view and logs what was concluded.
func (g *Gossip) step(ctx context.Context, event func(now time.Time) []member.Action) []member.Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	actions := event(now)
	g.renew(now)
	for _, concluded := range g.fleet.Events() {
		g.log(ctx, concluded)
	}

	return actions
}

// execute carries out actions beside each other; those beyond the bound are left out, as if their time had not come.
func (g *Gossip) execute(ctx context.Context, actions []member.Action) {
	for _, action := range actions {
		g.calls.TryGo(func() error {
			g.execute(ctx, g.call(ctx, action))

			return nil
		})
	}
}

// call carries out one action and returns those that follow from its outcome.
func (g *Gossip) call(ctx context.Context, action member.Action) []member.Action {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	address := g.addressOf(action.To, action.Address)
	var apply func(now time.Time) []member.Action
	var err error
	switch action.Kind {
	case member.ActionSync:
		var reply member.Difference
		err = g.control.Call(bounded, address, methodSync, action.Digest, &reply)
		apply = func(now time.Time) []member.Action { return g.fleet.HandleSyncResponse(now, action, reply) }
	case member.ActionIndirectProbe:
		var reply bool
		err = g.control.Call(bounded, address, methodReach, action.IndirectProbe, &reply)
		apply = func(now time.Time) []member.Action { g.fleet.HandleIndirectResponse(now, action, reply); return nil }
	default:
		var reply member.Message
		err = g.control.Call(bounded, address, methodExchange, action.Message, &reply)
		apply = func(now time.Time) []member.Action { g.fleet.HandleExchangeResponse(now, action, reply); return nil }
	}
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		apply = func(now time.Time) []member.Action { return g.fleet.HandleCallFailure(now, action) }
	}

	return g.step(ctx, apply)
}

// addressOf returns the fixed control address of a node if it has one.
func (g *Gossip) addressOf(id, announced string) string {
	if target, fixed := g.fixed[id]; fixed && target.Control != "" {
		return target.Control
	}

	return announced
}

// log writes what was concluded about a node; what the node itself announced matters least.
func (g *Gossip) log(ctx context.Context, event member.Event) {
	level := slog.LevelInfo
	switch event.Reason {
	case member.ReasonNameConflict:
		level = slog.LevelError
	case member.ReasonNoResponse, member.ReasonSuspectTimeout, member.ReasonUnreachableTimeout, member.ReasonObserverPaused, member.ReasonRefuted:
		level = slog.LevelWarn
	case member.ReasonReceived, member.ReasonTombstoneExpired:
		level = slog.LevelDebug
	}
	g.options.Log.LogAttrs(ctx, level, "member",
		slog.String("node", g.options.Self.ID),
		slog.String("subject", event.ID),
		slog.String("from", string(event.From)),
		slog.String("to", string(event.To)),
		slog.String("reason", string(event.Reason)),
	)
}
