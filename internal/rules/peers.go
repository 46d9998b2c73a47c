package rules

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"
)

// net/rpc methods on the control listener.
const (
	receiverName = "Rules"
	methodFetch  = receiverName + ".Fetch"
)

// FetchReply is the reply to Fetch. Text is the encoded route table, empty if there is no newer version.
type FetchReply struct {
	Version uint64
	Text    []byte
}

// Receiver serves the control calls of other nodes.
type Receiver struct {
	rules *Rules
}

// Fetch returns the route table in force if it is newer than the given version.
func (r *Receiver) Fetch(version uint64, reply *FetchReply) error {
	r.rules.mu.Lock()
	defer r.rules.mu.Unlock()
	reply.Version = r.rules.Revision()
	if reply.Version > version {
		reply.Text = r.rules.manifest
	}

	return nil
}

// watchPeers fetches the route table from nodes that have a newer version, until the context ends.
func (r *Rules) watchPeers(ctx context.Context) error {
	ticker := time.NewTicker(peerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-r.hints:
			r.fetch(ctx, h)
		case <-ticker.C:
			r.fetch(ctx, r.newestPeer())
			r.applyPending(ctx)
		}
	}
}

// newestPeer returns one of the nodes with the newest version according to the membership, at random: one that doesn't answer is not asked
// again and again.
func (r *Rules) newestPeer() hint {
	best, count := hint{version: r.Revision()}, 0
	for _, entry := range r.members.All() {
		switch {
		case entry.Revision < best.version || entry.Revision == r.Revision():
			continue
		case entry.Revision > best.version:
			count = 0
		}
		if count++; rand.IntN(count) == 0 {
			best = hint{version: entry.Revision, control: entry.Control}
		}
	}

	return best
}

// fetch gets the route table from a node if that has a newer version, and puts it in force.
func (r *Rules) fetch(ctx context.Context, source hint) {
	if source.control == "" || source.version <= r.Revision() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply FetchReply
	if err := r.control.Call(callCtx, source.control, methodFetch, r.Revision(), &reply); err != nil {
		r.log.LogAttrs(ctx, slog.LevelDebug, "cannot fetch routes from node", slog.String("from", source.control), slog.String("error", err.Error()))

		return
	}
	if len(reply.Text) == 0 {
		return
	}
	if v, valid := r.newestValid(ctx, []Manifest{reply.Text}, source.control); valid {
		r.apply(ctx, v, source.control)
	}
}
