package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/panics"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	defaultGossipInterval = 200 * time.Millisecond
	// tickJitter is the fraction of the gossip interval by which rounds vary, so that nodes do not synchronise.
	tickJitter = 0.25
	// minTickDelay is the minimum time between two rounds, also when wake-ups are frequent.
	minTickDelay = 20 * time.Millisecond
)

func (g *Gossip) gossipInterval() time.Duration {
	if g.options.Timing.GossipInterval > 0 {
		return g.options.Timing.GossipInterval
	}

	return defaultGossipInterval
}

// tickLoop runs a gossip round at jittered intervals, and early after a wake-up, until the context ends.
func (g *Gossip) tickLoop(ctx context.Context) error {
	for {
		wait := time.Duration(float64(g.gossipInterval()) * (1 - tickJitter + 2*tickJitter*rand.Float64()))
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()

			return nil
		case <-g.wakeups:
			timer.Stop()
			time.Sleep(minTickDelay)
		case <-timer.C:
		}
		g.updateRevision()
		g.execute(ctx, g.apply(ctx, func(now time.Time) []member.Action { return g.fleet.Tick(now) }))
	}
}

// updateRevision copies the settings revision in force at this node to its own entry.
func (g *Gossip) updateRevision() {
	source, err := kernel.Find[revisionSource](g.kernel, "holder")
	if err != nil {
		return
	}
	g.SetRevision(source.Revision())
}

// revisionSource is the part of the service `holder` (the settings) that updateRevision needs.
type revisionSource interface {
	Revision() uint64
}

// apply passes one event of the protocol to the fleet, refreshes the view and logs the changes of members. It returns the calls
// to make.
func (g *Gossip) apply(ctx context.Context, update func(now time.Time) []member.Action) []member.Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	actions := update(now)
	g.refreshView(now)
	g.passDeparture()
	for _, event := range g.fleet.Events() {
		g.log(ctx, event)
	}

	return actions
}

// passDeparture passes on a departure that another node has told. The caller must hold g.mu.
func (g *Gossip) passDeparture() {
	departed := g.fleet.Self().Departed
	if departed == g.departed {
		return
	}
	g.departed = departed
	select {
	case g.departures <- *departed:
	default:
	}
}

// execute performs actions concurrently. Actions beyond maxCalls are dropped, as if they had not been due.
func (g *Gossip) execute(ctx context.Context, actions []member.Action) {
	for _, action := range actions {
		g.calls.TryGo(func() error {
			// the error has been logged, and a call that fails is made again in a later round
			_ = panics.Do(ctx, g.options.Log, "gossip call", func(ctx context.Context) error {
				g.execute(ctx, g.call(ctx, action))

				return nil
			})

			return nil
		})
	}
}

// call performs one action and returns the actions that follow from its result.
func (g *Gossip) call(ctx context.Context, action member.Action) []member.Action {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	address := g.addressOf(action.To, action.Address)
	var handle func(now time.Time) []member.Action
	var err error
	switch action.Kind {
	case member.ActionSync:
		var reply member.Difference
		err = g.control.Call(callCtx, address, methodSync, action.Digest, &reply)
		handle = func(now time.Time) []member.Action { return g.fleet.HandleSyncResponse(now, action, reply) }
	case member.ActionIndirectProbe:
		var reply bool
		err = g.control.Call(callCtx, address, methodReach, action.IndirectProbe, &reply)
		handle = func(now time.Time) []member.Action { g.fleet.HandleIndirectResponse(now, action, reply); return nil }
	default:
		var reply member.Message
		err = g.control.Call(callCtx, address, methodExchange, action.Message, &reply)
		handle = func(now time.Time) []member.Action { g.fleet.HandleExchangeResponse(now, action, reply); return nil }
	}
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		handle = func(now time.Time) []member.Action { return g.fleet.HandleCallFailure(now, action) }
	}

	return g.apply(ctx, handle)
}

// addressOf returns the configured control address of a node if there is one, otherwise the announced one.
func (g *Gossip) addressOf(id, announced string) string {
	if target, fixed := g.fixedTargets[id]; fixed && target.Control != "" {
		return target.Control
	}

	return announced
}

// log logs a change of a member. Changes received from other nodes are at debug level only.
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
