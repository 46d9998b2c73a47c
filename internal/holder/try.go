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
	// maxControl bounds the nodes that a trial is compared with.
	maxControl = 32
	// looksPerTrial and longestLook say how often a trial is looked at.
	looksPerTrial = 5
	longestLook   = time.Second
	busyPause     = 250 * time.Millisecond
)

// attempt is one trial of a tree.
type attempt struct {
	edit    string
	base    uint64
	tree    *tree.Tree
	changed []tree.Change
	guard   trial.Guard
	share   float64
}

// watched is a node that takes part in a trial, with what it had counted at the start.
type watched struct {
	entry   member.Entry
	onTrial bool
	first   ObserveReply
	last    ObserveReply
	lost    bool
}

// try runs a proposal on a bounded share of the nodes until there is a verdict.
func (h *Holder) try(ctx context.Context, a attempt) trial.Verdict {
	on, control := pick(h.known(), a)
	nodes, verdict := h.offerAll(ctx, a, on)
	if verdict != nil {
		return *verdict
	}
	for _, entry := range control {
		nodes = append(nodes, &watched{entry: entry})
	}
	verdict = h.watch(ctx, a, nodes)
	if verdict.Action != trial.ActionAccept {
		h.endAll(ctx, a, nodes)
	}

	return *verdict
}

// known returns the nodes that can take part, this one at least.
func (h *Holder) known() []member.Entry {
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

// pick chooses the nodes on trial, the share of each service and at least one of two, and some others to compare with.
func pick(entries []member.Entry, a attempt) (on, control []member.Entry) {
	order := func(entry member.Entry) uint64 { return xxhash.Sum64String(a.edit + entry.ID) }
	slices.SortFunc(entries, func(x, y member.Entry) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), a.touches(y)-a.touches(x), cmp.Compare(order(x), order(y)))
	})
	for len(entries) > 0 {
		size := slices.IndexFunc(entries, func(e member.Entry) bool { return e.Service != entries[0].Service })
		if size < 0 {
			size = len(entries)
		}
		count := int(a.share * float64(size))
		if count == 0 && size > 1 {
			count = 1
		}
		on = append(on, entries[:count]...)
		control = append(control, entries[count:size]...)
		entries = entries[size:]
	}
	if len(on) == 0 && len(control) > 0 {
		on, control = control[:1], control[1:]
	}
	slices.SortFunc(control, func(x, y member.Entry) int { return cmp.Compare(order(x), order(y)) })

	return on, control[:min(maxControl, len(control))]
}

// touches is one for a node at a place that the edit names.
func (a attempt) touches(entry member.Entry) int {
	for _, change := range a.changed {
		if change.Path.Place != "" && change.Path.Place == entry.DataCentre {
			return 1
		}
	}

	return 0
}

// offerAll puts the proposal on the nodes; it waits for another proposal to end.
func (h *Holder) offerAll(ctx context.Context, a attempt, on []member.Entry) ([]*watched, *trial.Verdict) {
	// Another proposal may last as long as it waits for requests, and as its lease after that.
	giveUp := time.Now().Add(3*a.guard.Duration + h.options.Lease)
	for {
		if h.Record().Revision != a.base {
			return nil, &trial.Verdict{Action: trial.ActionRefuse, Reason: trial.ReasonOvertaken}
		}
		replies := h.offerEach(ctx, a, on)
		var nodes []*watched
		busy, detail := false, ""
		for i, reply := range replies {
			if reply.Accepted {
				nodes = append(nodes, &watched{entry: on[i], onTrial: true})
			} else {
				busy, detail = busy || reply.Busy, reply.Detail
			}
		}
		if !busy && len(nodes) > 0 {
			return nodes, nil
		}
		h.endAll(ctx, a, nodes)
		reason := trial.ReasonNoTrialNode
		if busy {
			reason = trial.ReasonTrialBusy
		}
		if !sleep(ctx, busyPause+jitterOf(a.edit)) || time.Now().After(giveUp) {
			return nil, &trial.Verdict{Action: trial.ActionRefuse, Reason: reason, Detail: detail}
		}
	}
}

// jitterOf keeps two coordinators that block each other from trying in step.
func jitterOf(edit string) time.Duration {
	return time.Duration(xxhash.Sum64String(edit) % uint64(busyPause))
}

func (h *Holder) offerEach(ctx context.Context, a attempt, on []member.Entry) []OfferReply {
	replies := make([]OfferReply, len(on))
	var calls errgroup.Group
	calls.SetLimit(maxControl)
	for i, entry := range on {
		calls.Go(func() error {
			args := OfferArgs{Edit: a.edit, Base: a.base, Text: a.tree.Text(), Lease: h.options.Lease}
			if err := h.call(ctx, entry, methodOffer, args, &replies[i]); err != nil {
				replies[i].Detail = err.Error()
			}

			return nil
		})
	}
	_ = calls.Wait()

	return replies
}

func (h *Holder) endAll(ctx context.Context, a attempt, nodes []*watched) {
	ctx = context.WithoutCancel(ctx)
	var calls errgroup.Group
	calls.SetLimit(maxControl)
	for _, node := range nodes {
		if node.onTrial {
			calls.Go(func() error {
				_ = h.call(ctx, node.entry, methodEnd, a.edit, &struct{}{})

				return nil
			})
		}
	}
	_ = calls.Wait()
}

// watch renews the leases and judges what the nodes count.
func (h *Holder) watch(ctx context.Context, a attempt, nodes []*watched) *trial.Verdict {
	began := time.Now()
	h.observeAll(ctx, a, nodes)
	for _, node := range nodes {
		node.first = node.last
	}
	for {
		if !sleep(ctx, min(a.guard.Duration/looksPerTrial, longestLook, h.options.Lease/2)) {
			return &trial.Verdict{Action: trial.ActionRefuse, Reason: "cancelled", Detail: "the operator's request ended before the trial"}
		}
		h.observeAll(ctx, a, nodes)
		if h.Record().Revision != a.base {
			return &trial.Verdict{Action: trial.ActionRefuse, Reason: trial.ReasonOvertaken}
		}
		if left := countOnTrial(nodes); left == 0 {
			return &trial.Verdict{Action: trial.ActionRefuse, Reason: trial.ReasonCoordinatorVanished, Detail: "no node still has the proposal on trial"}
		}
		if verdict := trial.Judge(a.guard, time.Since(began), views(nodes)); verdict.Action != trial.ActionWait {
			return &verdict
		}
	}
}

func (h *Holder) observeAll(ctx context.Context, a attempt, nodes []*watched) {
	var calls errgroup.Group
	calls.SetLimit(maxControl)
	for _, node := range nodes {
		calls.Go(func() error {
			args := ObserveArgs{Lease: h.options.Lease}
			if node.onTrial {
				args.Edit = a.edit
			}
			var reply ObserveReply
			// A node that cannot be asked keeps its last counts.
			if h.call(ctx, node.entry, methodObserve, args, &reply) == nil {
				node.last = reply
				node.lost = node.onTrial && reply.Trial != a.edit
			}

			return nil
		})
	}
	_ = calls.Wait()
}

func (h *Holder) call(ctx context.Context, entry member.Entry, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return h.control.Call(ctx, entry.Control, method, args, reply)
}

func countOnTrial(nodes []*watched) int {
	left := 0
	for _, node := range nodes {
		if node.onTrial && !node.lost {
			left++
		}
	}

	return left
}

// views sums what entries and executing nodes saw since the start.
func views(nodes []*watched) []trial.Comparison {
	entries, execs := trial.Comparison{Name: "entries"}, trial.Comparison{Name: "executing nodes"}
	for _, node := range nodes {
		entry, exec := node.last.Entry.Since(node.first.Entry), node.last.Exec.Since(node.first.Exec)
		if node.onTrial {
			entries.Trial, execs.Trial = entries.Trial.Plus(entry), execs.Trial.Plus(exec)
		} else {
			entries.Control, execs.Control = entries.Control.Plus(entry), execs.Control.Plus(exec)
		}
	}

	return []trial.Comparison{entries, execs}
}

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
