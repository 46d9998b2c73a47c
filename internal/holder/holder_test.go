package holder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiotack/pistachiotack/internal/holder"
	"github.com/pistachiotack/pistachiotack/internal/plat"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// TestRevisionNeverDecreasesProperty checks that a node's revision never decreases and that its settings always come from one
// complete tree, for records, forks, invalid records and offers in any order.
func TestRevisionNeverDecreasesProperty(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		current, highest := holder.NewNodeState(tree.EmptySnapshot()), uint64(0)
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			before := current
			revision := rapid.Uint64Range(1, 9).Draw(rt, "revision")
			switch rapid.SampledFrom([]string{"record", "fork", "invalid", "offer", "expire"}).Draw(rt, "step") {
			case "record", "fork":
				edit := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "edit")
				record := holder.Record{Ancestor: holder.Ancestor{Revision: revision, Edit: edit}, Text: fmt.Sprintf("attempts = %d", revision)}
				next, change, err := current.Adopt(record)
				require.NoError(rt, err)
				require.Equal(rt, revision > highest, change == holder.RecordAdopted)
				highest = max(highest, revision)
				current = next
			case "invalid":
				next, _, err := current.Adopt(holder.Record{Ancestor: holder.Ancestor{Revision: revision}, Text: "atempts = 3"})
				require.Equal(rt, revision > highest, err != nil)
				current = next
			case "offer":
				next, err := current.StartTrial("edit", revision, "attempts = 60", now)
				require.Equal(rt, err == nil, revision == highest)
				current = next
			case "expire":
				current, _ = current.ExpireLease(now)
				require.Empty(rt, current.Trial())
			}
			require.Equal(rt, highest, current.Record().Revision)
			require.GreaterOrEqual(rt, current.Snapshot().Revision(), before.Snapshot().Revision())
			want := int(highest)
			if highest == 0 {
				want = tree.DefaultPolicy().Attempts
			}
			if current.Trial() != "" {
				want = 60
			}
			require.Equal(rt, want, current.Snapshot().Policy("p", "s", "GET", "/").Attempts)
		}
	})
}

// TestEditReachesAllNodes checks that an accepted edit is in force on all nodes, appears in the history and can be reverted.
func TestEditReachesAllNodes(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 8)
	f.storeRevision(initialTree)
	result := f.nodes[3].Propose(t.Context(), f.nodes[3].edit(t, "anna", "service.alarm.attempts", "9"))
	require.Equal(t, trial.StateAccepted, result.State, result.Detail)
	require.Equal(t, trial.ReasonGuardHeld, result.Reason)
	require.EqualValues(t, 2, result.Revision)
	f.waitForRevision(2)
	for _, n := range f.nodes {
		require.Equal(t, 9, n.Snapshot().Policy("hal-a", "alarm", "GET", "/").Attempts)
		require.Empty(t, n.Snapshot().Trial())
	}
	history := f.nodes[0].History(t.Context())
	require.Len(t, history.Proposals, 1)
	require.Equal(t, "anna", history.Proposals[0].Author)
	require.Equal(t, []string{"service.alarm.attempts: (inherited) -> 9"}, history.Proposals[0].Changes)

	reverted := f.nodes[5].Propose(t.Context(), holder.Edit{Author: "bert", Base: 2, Text: initialTree})
	require.EqualValues(t, 3, reverted.Revision, "a revert is a new revision")
	older, err := f.nodes[5].TreeAt(t.Context(), 2)
	require.NoError(t, err)
	require.Len(t, tree.Diff(f.nodes[5].Snapshot().Tree(), older), 1)
}

// TestConcurrentEdits checks that of two edits proposed at once on different nodes both are accepted if they change different
// settings, and one is refused as a conflict if they change the same one.
func TestConcurrentEdits(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		paths    [2]string
		accepted int
	}{
		"disjoint":    {[2]string{"service.alarm.attempts", "service.logboek.attempts"}, 2},
		"overlapping": {[2]string{"service.alarm.attempts", "service.alarm.attempts"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 6)
			f.storeRevision(initialTree)
			results := make(chan holder.Result, 2)
			for i, path := range tt.paths {
				n := f.nodes[i]
				edit := n.edit(t, fmt.Sprint("operator", i), path, fmt.Sprint(7+i))
				go func() { results <- n.Propose(context.Background(), edit) }()
			}
			accepted := 0
			for range tt.paths {
				result := <-results
				if result.State == trial.StateAccepted {
					accepted++

					continue
				}
				require.Equal(t, trial.ReasonConflict, result.Reason, result.Detail)
				require.Len(t, result.Conflicts, 1)
				require.Regexp(t, `service.alarm.attempts: was \(inherited\), accepted meanwhile [78], this edit [78]`, result.Detail)
			}
			require.Equal(t, tt.accepted, accepted)
			f.waitForRevision(uint64(1 + tt.accepted))
			changes := tree.Diff(f.nodes[0].Snapshot().Tree(), mustParse(t, initialTree))
			require.Len(t, changes, tt.accepted)
			require.Len(t, f.nodes[2].History(t.Context()).Proposals, 2)
		})
	}
}

func mustParse(t *testing.T, text string) *tree.Tree {
	t.Helper()
	parsed, err := tree.Parse(text)
	require.NoError(t, err)

	return parsed
}

// TestResponseToAcceptingWriteLost checks that an edit is accepted exactly once if the table carries out the writes, but does
// not respond to them.
func TestResponseToAcceptingWriteLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	f.storeRevision(initialTree)
	f.platform.SetFault(plat.NewFault(plat.ModeNoAnswer).OnWrites("settings/"))
	result := f.nodes[0].Propose(t.Context(), f.nodes[0].edit(t, "anna", "attempts", "9"))
	require.Equal(t, trial.StateAccepted, result.State, result.Detail)
	require.EqualValues(t, 2, result.Revision)
	f.waitForRevision(2)
	row, err := f.store.Get(t.Context(), "settings/head")
	require.NoError(t, err)
	var head holder.Record
	require.NoError(t, json.Unmarshal(row.Value, &head))
	require.Equal(t, result.Edit, head.Edit)
	require.EqualValues(t, 2, head.Revision, "must be written once")
}

// TestTableLostAfterAcceptance checks that a revision stays in force while the table is unavailable, also on a node started
// meanwhile, and that edits are refused until the table is back.
func TestTableLostAfterAcceptance(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 6)
	f.storeRevision(initialTree)
	result := f.nodes[0].Propose(t.Context(), f.nodes[0].edit(t, "anna", "attempts", "9"))
	f.platform.SetFault(plat.NewFault(plat.ModeDown))
	require.Equal(t, trial.StateAccepted, result.State, result.Detail)
	f.waitForRevision(2)
	added := f.addNode(allGood)
	f.waitForRevision(2)
	require.Equal(t, 9, added.Snapshot().Policy("hal-a", "alarm", "GET", "/").Attempts)
	require.Eventually(t, func() bool { return len(added.Degraded()) > 0 }, testTimeout, time.Millisecond)

	refusal := added.Propose(t.Context(), added.edit(t, "bert", "attempts", "3"))
	require.Equal(t, trial.StateRefused, refusal.State)
	require.Equal(t, call.ReasonTableAway, refusal.Reason)
	f.platform.SetFault(plat.NewFault(plat.ModeNone))
	require.Eventually(t, func() bool { return len(added.Degraded()) == 0 }, testTimeout, time.Millisecond)
}

// TestOlderTableIsRepairedNotAdopted checks that nodes keep the revision in force if the table is restored to an older one,
// report it, and write the revision back once the table accepts writes.
func TestOlderTableIsRepairedNotAdopted(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	f.storeRevision(initialTree)
	f.platform.Save()
	result := f.nodes[0].Propose(t.Context(), f.nodes[0].edit(t, "anna", "attempts", "9"))
	require.Equal(t, trial.StateAccepted, result.State, result.Detail)
	f.waitForRevision(2)
	f.platform.SetFault(plat.NewFault(plat.ModeRefuse).OnWrites(""))
	f.platform.Restore()
	require.Eventually(t, func() bool { return len(f.nodes[1].Degraded()) == 1 }, testTimeout, time.Millisecond)
	require.Contains(t, f.nodes[1].Degraded()[0], "table holds revision 1 (edit seed), revision 2 stays in force")
	f.platform.SetFault(plat.NewFault(plat.ModeNone))
	require.Eventually(t, func() bool {
		row, err := f.store.Get(context.Background(), "settings/head")
		var head holder.Record

		return err == nil && json.Unmarshal(row.Value, &head) == nil && head.Revision == 2 && head.Edit == result.Edit
	}, testTimeout, 10*time.Millisecond)
	f.waitForRevision(2)
}

// TestForkIsNotOverwrittenAutomatically checks that nodes report a fork in the table without overwriting it, and that the next
// edit is based on the revision in force and warns about the fork. A fork arises if other nodes accept an edit after the table
// was restored from a backup.
func TestForkIsNotOverwrittenAutomatically(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	f.storeRevision(initialTree)
	other := holder.Record{Ancestor: holder.Ancestor{Revision: 1, Edit: "other"}, Text: initialTree}
	value, err := json.Marshal(other)
	require.NoError(t, err)
	_, err = f.store.Put(t.Context(), "settings/head", value, "")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(f.nodes[0].Degraded()) == 1 }, testTimeout, time.Millisecond)
	result := f.nodes[0].Propose(t.Context(), f.nodes[0].edit(t, "anna", "attempts", "9"))
	require.EqualValues(t, 2, result.Revision, result.Detail)
	require.Len(t, result.Warnings, 1)
	f.waitForRevision(2)
}

// TestBadEditIsRefusedAndTrialEnds checks that an edit which lowers the goodput is refused, and that the trial has ended on all
// nodes by then.
func TestBadEditIsRefusedAndTrialEnds(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	var touched atomic.Int64
	for range 8 {
		var n node
		n = f.addNode(func() trial.Count {
			if n.Holder != nil && n.Snapshot().Trial() != "" {
				touched.Add(1)

				return trial.Count{Offered: 100, Good: 60}
			}

			return allGood()
		})
	}
	f.storeRevision(initialTree)
	result := f.nodes[0].Propose(t.Context(), f.nodes[0].edit(t, "anna", "deadline", "150ms"))
	require.Equal(t, trial.StateRefused, result.State)
	require.Equal(t, trial.ReasonGuardBroken, result.Reason, result.Detail)
	require.Positive(t, touched.Load())
	for _, n := range f.nodes {
		require.Empty(t, n.Snapshot().Trial())
		require.EqualValues(t, 1, n.Snapshot().Revision())
	}
	proposals := f.nodes[4].History(t.Context()).Proposals
	require.Len(t, proposals, 1)
	require.Equal(t, trial.ReasonGuardBroken, proposals[0].Reason)
	require.Contains(t, proposals[0].Detail, "guard 95.0%")
}

// TestNoTrafficRequiresUntested checks that without important requests an edit is accepted only if marked as untested.
func TestNoTrafficRequiresUntested(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	n := f.addNode(func() trial.Count { return trial.Count{} })
	f.storeRevision(initialTree)
	edit := n.edit(t, "anna", "attempts", "9")
	result := n.Propose(t.Context(), edit)
	require.Equal(t, trial.StateRefused, result.State)
	require.Equal(t, trial.ReasonNoTraffic, result.Reason, result.Detail)
	edit.Untested = true
	result = n.Propose(t.Context(), edit)
	require.Equal(t, trial.StateAccepted, result.State)
	require.Equal(t, trial.ReasonUntested, result.Reason, result.Detail)
}

// TestTrialOfVanishedCoordinatorExpires checks that the nodes end a trial whose coordinator stops, and that the proposal is
// shown as expired.
func TestTrialOfVanishedCoordinatorExpires(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 0)
	f.options.Lease = 400 * time.Millisecond
	for range 4 {
		f.addNode(allGood)
	}
	f.storeRevision(initialTree)
	coordinator := f.nodes[0]
	finished := make(chan holder.Result, 1)
	edit := coordinator.edit(t, "anna", "attempts", "9")
	edit.ID = "edit-of-vanished-coordinator"
	go func() { finished <- coordinator.Propose(context.Background(), edit) }()
	onTrial := func() bool {
		for _, n := range f.nodes[1:] {
			if n.Snapshot().Trial() != "" {
				return true
			}
		}

		return false
	}
	require.Eventually(t, onTrial, testTimeout, time.Millisecond)
	f.platform.SetFault(plat.NewFault(plat.ModeDown))
	coordinator.stop()
	require.Eventually(t, func() bool { return !onTrial() }, testTimeout, time.Millisecond)
	require.NotEqual(t, trial.StateAccepted, (<-finished).State)
	f.platform.SetFault(plat.NewFault(plat.ModeNone))
	for _, n := range f.nodes {
		require.EqualValues(t, 1, n.Snapshot().Revision())
	}
	expireProposal(t, f.store)
	var proposals []trial.Proposal
	require.Eventually(t, func() bool {
		proposals = f.nodes[1].History(context.Background()).Proposals

		return len(proposals) == 1
	}, testTimeout, 10*time.Millisecond)
	require.Equal(t, trial.StateExpired, proposals[0].State)
	require.Equal(t, trial.ReasonCoordinatorVanished, proposals[0].Reason)
}

// expireProposal moves the expiry of the only stored proposal into the past.
func expireProposal(t *testing.T, s *store.Store) {
	t.Helper()
	var rows []store.Row
	require.Eventually(t, func() bool {
		var err error
		rows, err = s.List(context.Background(), "settings/proposal/", "")

		return err == nil && len(rows) == 1
	}, testTimeout, 10*time.Millisecond)
	var p trial.Proposal
	require.NoError(t, json.Unmarshal(rows[0].Value, &p))
	require.Equal(t, trial.StateOnTrial, p.State)
	p.ExpiresAt = p.ProposedAt
	value, err := json.Marshal(p)
	require.NoError(t, err)
	_, err = s.Put(context.Background(), rows[0].Key, value, rows[0].ETag)
	require.NoError(t, err)
}
