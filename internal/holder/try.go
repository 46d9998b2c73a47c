package holder

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

const (
	// maxControlNodes bounds the size of the control group, and the number of concurrent calls to the nodes of a trial.
	maxControlNodes = 32
	// observationsPerTrial is the minimum number of observations of a trial of regular duration.
	observationsPerTrial = 5
	maxObserveInterval   = time.Second
	// busyRetryInterval is the minimum wait before a proposal is offered again, the maximum being twice as long.
	busyRetryInterval = 250 * time.Millisecond
)

// trialRun describes one trial of a proposal: its tree, the changes from the accepted revision base, the conditions for
// accepting it (guard), and the share of nodes that use it.
type trialRun struct {
	editID  string
	base    uint64
	tree    *tree.Tree
	changed []tree.Change
	guard   trial.Guard
	share   float64
}

// participant is a node that uses the proposal (onTrial) or belongs to the control group, with its first and its latest
// observation.
type participant struct {
	entry   member.Entry
	onTrial bool
	initial ObserveReply
	latest  ObserveReply
	// trialEnded reports that the node no longer uses the proposal, for example because its lease expired.
	trialEnded bool
}

// runTrial runs a proposal on a share of the nodes until there is a verdict. If the proposal is not accepted, it ends the trial
// on these nodes.
func (h *Holder) runTrial(ctx context.Context, run trialRun) trial.Verdict {
	onTrial, control := selectNodes(h.trialCandidates(), run)
	nodes, verdict := h.placeTrial(ctx, run, onTrial)
	if verdict != nil {
		return *verdict
	}
	for _, entry := range control {
		nodes = append(nodes, &participant{entry: entry})
	}
	verdict = h.watchTrial(ctx, run, nodes)
	if verdict.Action != trial.ActionAccept {
		h.endTrial(ctx, run, nodes)
	}

	return *verdict
}

// trialCandidates returns the nodes that can take part in a trial: those that accept calls, and always this one.
func (h *Holder) trialCandidates() []member.Entry {
	entries := []member.Entry{}
	self := false
	for _, entry := range h.fleet.All() {
		if !callable(entry) || !entry.AcceptsCalls() && entry.ID != h.options.Node {
			continue
		}
		self = self || entry.ID == h.options.Node
		entries = append(entries, entry)
	}
	if !self {
		entries = append(entries, member.Entry{ID: h.options.Node, Control: h.control.Address()})
	}

	return entries
}

// selectNodes chooses the nodes that use the proposal and the control group. The former are the given share of the nodes of each
// service, at least one if the service has two, and preferably nodes at a place that the edit changes. If no service has two
// nodes, it is a single node. The control group is chosen pseudo-randomly from the others, by a hash of edit and node.
func selectNodes(entries []member.Entry, run trialRun) (onTrial, control []member.Entry) {
	hash := func(entry member.Entry) uint64 { return xxhash.Sum64String(run.editID + entry.ID) }
	slices.SortFunc(entries, func(x, y member.Entry) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), run.changesPlaceOf(y)-run.changesPlaceOf(x), cmp.Compare(hash(x), hash(y)))
	})
	for len(entries) > 0 {
		size := slices.IndexFunc(entries, func(e member.Entry) bool { return e.Service != entries[0].Service })
		if size < 0 {
			size = len(entries)
		}
		count := int(run.share * float64(size))
		if count == 0 && size > 1 {
			count = 1
		}
		onTrial = append(onTrial, entries[:count]...)
		control = append(control, entries[count:size]...)
		entries = entries[size:]
	}
	if len(onTrial) == 0 && len(control) > 0 {
		onTrial, control = control[:1], control[1:]
	}
	slices.SortFunc(control, func(x, y member.Entry) int { return cmp.Compare(hash(x), hash(y)) })

	return onTrial, control[:min(maxControlNodes, len(control))]
}

// changesPlaceOf returns 1 if the edit changes settings for the place of the node, 0 otherwise.
func (run trialRun) changesPlaceOf(entry member.Entry) int {
	for _, change := range run.changed {
		if change.Path.Place != "" && change.Path.Place == entry.DataCentre {
			return 1
		}
	}

	return 0
}

// placeTrial offers the proposal to the nodes and returns those that accept it. As long as a node is busy with another proposal
// or no node accepts, it ends the trial on the others and offers it again later. It returns a verdict instead if the deadline
// passes, the context ends or another edit is accepted.
func (h *Holder) placeTrial(ctx context.Context, run trialRun, onTrial []member.Entry) ([]*participant, *trial.Verdict) {
	// The deadline covers an extended trial of another proposal and the expiry of its leases afterwards.
	deadline := time.Now().Add(3*run.guard.Duration + h.options.Lease)
	for {
		if h.Record().Revision != run.base {
			return nil, &trial.Verdict{Action: trial.ActionRefuse, Reason: trial.ReasonOvertaken}
		}
		replies := h.sendOffers(ctx, run, onTrial)
		var nodes []*participant
		busy, detail := false, ""
		for i, reply := range replies {
			if reply.Accepted {
				nodes = append(nodes, &participant{entry: onTrial[i], onTrial: true})
			} else {
				busy, detail = busy || reply.Busy, reply.Detail
			}
		}
		if !busy && len(nodes) > 0 {
			return nodes, nil
		}
		h.endTrial(ctx, run, nodes)
		reason := trial.ReasonNoTrialNode
		if busy {
			reason = trial.ReasonTrialBusy
		}
		if !sleep(ctx, busyRetryInterval+retryJitter(run.editID)) || time.Now().After(deadline) {
			return nil, &trial.Verdict{Action: trial.ActionRefuse, Reason: reason, Detail: detail}
		}
	}
}

// retryJitter returns an additional wait that depends on the edit, so that two coordinators which block each other do not offer
// their proposals again at the same time.
func retryJitter(editID string) time.Duration {
	return time.Duration(xxhash.Sum64String(editID) % uint64(busyRetryInterval))
}

// sendOffers offers the proposal to each node and returns the replies in the same order. A failed call counts as a refusal.
func (h *Holder) sendOffers(ctx context.Context, run trialRun, onTrial []member.Entry) []OfferReply {
	replies := make([]OfferReply, len(onTrial))
	var calls errgroup.Group
	calls.SetLimit(maxControlNodes)
	for i, entry := range onTrial {
		calls.Go(func() error {
			args := OfferArgs{Edit: run.editID, Base: run.base, Text: run.tree.Text(), Lease: h.options.Lease}
			if err := h.call(ctx, entry, methodOffer, args, &replies[i]); err != nil {
				replies[i].Detail = err.Error()
			}

			return nil
		})
	}
	_ = calls.Wait()

	return replies
}

// endTrial ends the trial on the nodes, even if the context is cancelled. On nodes that cannot be reached the lease expires.
func (h *Holder) endTrial(ctx context.Context, run trialRun, nodes []*participant) {
	ctx = context.WithoutCancel(ctx)
	var calls errgroup.Group
	calls.SetLimit(maxControlNodes)
	for _, node := range nodes {
		if node.onTrial {
			calls.Go(func() error {
				_ = h.call(ctx, node.entry, methodEnd, run.editID, &struct{}{})

				return nil
			})
		}
	}
	_ = calls.Wait()
}

// watchTrial observes the nodes, which renews the leases, until their counts allow a verdict, the trial fails or the context
// ends.
func (h *Holder) watchTrial(ctx context.Context, run trialRun, nodes []*participant) *trial.Verdict {
	startedAt := time.Now()
	h.observeNodes(ctx, run, nodes)
	for _, node := range nodes {
		node.initial = node.latest
	}
	for {
		if !sleep(ctx, min(run.guard.Duration/observationsPerTrial, maxObserveInterval, h.options.Lease/2)) {
			return &trial.Verdict{Action: trial.ActionRefuse, Reason: "cancelled", Detail: "the operator's request ended before the trial"}
		}
		h.observeNodes(ctx, run, nodes)
		if h.Record().Revision != run.base {
			return &trial.Verdict{Action: trial.ActionRefuse, Reason: trial.ReasonOvertaken}
		}
		if remaining := countOnTrial(nodes); remaining == 0 {
			return &trial.Verdict{Action: trial.ActionRefuse, Reason: trial.ReasonCoordinatorVanished, Detail: "no node still has the proposal on trial"}
		}
		if verdict := trial.Judge(run.guard, time.Since(startedAt), compareGroups(nodes)); verdict.Action != trial.ActionWait {
			return &verdict
		}
	}
}

// observeNodes renews the leases and reads the counts of all participants.
func (h *Holder) observeNodes(ctx context.Context, run trialRun, nodes []*participant) {
	var calls errgroup.Group
	calls.SetLimit(maxControlNodes)
	for _, node := range nodes {
		calls.Go(func() error {
			args := ObserveArgs{Lease: h.options.Lease}
			if node.onTrial {
				args.Edit = run.editID
			}
			var reply ObserveReply
			// A node that does not respond keeps its latest counts.
			if h.call(ctx, node.entry, methodObserve, args, &reply) == nil {
				node.latest = reply
				node.trialEnded = node.onTrial && reply.Trial != run.editID
			}

			return nil
		})
	}
	_ = calls.Wait()
}

// call calls a method of the node with callTimeout.
func (h *Holder) call(ctx context.Context, entry member.Entry, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return h.control.Call(ctx, entry.Control, method, args, reply)
}

// countOnTrial returns the number of nodes that still use the proposal.
func countOnTrial(nodes []*participant) int {
	count := 0
	for _, node := range nodes {
		if node.onTrial && !node.trialEnded {
			count++
		}
	}

	return count
}

// compareGroups returns the counts of both groups since the start of the trial, one comparison for their role as entry nodes and
// one for that as executing nodes.
func compareGroups(nodes []*participant) []trial.Comparison {
	entries, execs := trial.Comparison{Name: "entries"}, trial.Comparison{Name: "executing nodes"}
	for _, node := range nodes {
		entry, exec := node.latest.Entry.Since(node.initial.Entry), node.latest.Exec.Since(node.initial.Exec)
		if node.onTrial {
			entries.Trial, execs.Trial = entries.Trial.Plus(entry), execs.Trial.Plus(exec)
		} else {
			entries.Control, execs.Control = entries.Control.Plus(entry), execs.Control.Plus(exec)
		}
	}

	return []trial.Comparison{entries, execs}
}

// sleep waits for the duration, and reports false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
