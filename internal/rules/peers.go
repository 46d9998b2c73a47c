package rules

import (
	"context"
	"log/slog"
	"time"
)

// Methods on the control listener.
const (
	receiverName = "Rules"
	methodFetch  = receiverName + ".Fetch"
)

// FetchReply is the answer to a node that asks for newer routes; the text is empty if there are none.
type FetchReply struct {
	Version uint64
	Text    []byte
}

// Receiver serves the calls of other nodes.
type Receiver struct {
	rules *Rules
}

// Fetch returns the routes in force if they are newer than the version.
func (r *Receiver) Fetch(version uint64, reply *FetchReply) error {
	r.rules.mu.Lock()
	defer r.rules.mu.Unlock()
	reply.Version = r.rules.Revision()
	if reply.Version > version {
		reply.Text = r.rules.text
	}

	return nil
}

// watchPeers fetches routes from a node that holds a newer version, until the context ends.
func (r *Rules) watchPeers(ctx context.Context) error {
	ticker := time.NewTicker(peerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case heard := <-r.hints:
			r.fetch(ctx, heard)
		case <-ticker.C:
			r.fetch(ctx, r.newest())
		}
	}
}

// newest returns the node with the newest version that membership tells of.
func (r *Rules) newest() hint {
	best := hint{version: r.Revision()}
	for _, entry := range r.members.All() {
		if entry.Revision > best.version {
			best = hint{version: entry.Revision, control: entry.Control}
		}
	}

	return best
}

func (r *Rules) fetch(ctx context.Context, from hint) {
	if from.control == "" || from.version <= r.Revision() {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var held FetchReply
	if err := r.control.Call(bounded, from.control, methodFetch, r.Revision(), &held); err != nil {
		r.log.LogAttrs(ctx, slog.LevelDebug, "routes not fetched", slog.String("from", from.control), slog.String("error", err.Error()))

		return
	}
	if len(held.Text) > 0 {
		r.take(ctx, held.Text, from.control)
	}
}
