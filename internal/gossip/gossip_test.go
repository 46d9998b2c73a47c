package gossip_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/gossip"
	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/peers"
	"github.com/pistachiotack/pistachiotack/internal/plat"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	waitTimeout  = 20 * time.Second
	pollInterval = 5 * time.Millisecond
)

// instance is one node's gossip and control services, without HTTP.
type instance struct {
	*gossip.Gossip
	address string
	stop    func()
}

func timing() member.Options {
	return member.Options{
		GossipInterval: 20 * time.Millisecond, ProbeInterval: 100 * time.Millisecond, SuspectTimeout: 300 * time.Millisecond,
		SyncInterval: 300 * time.Millisecond, RelayInterval: 300 * time.Millisecond, RevisitInterval: 300 * time.Millisecond,
	}
}

// start runs an instance; options.Self must have an ID and an incarnation.
func start(t *testing.T, options gossip.Options, services ...kernel.Service) *instance {
	t.Helper()
	options.Self.Service = "logboek"
	if options.Self.DataCentre == "" {
		options.Self.DataCentre = "hal-a"
	}
	options.Timing = timing()
	options.Timing.Seed = options.Self.Incarnation
	log := slog.New(slog.DiscardHandler)
	k := kernel.New(log)
	control := peers.New(peers.Options{Listen: "127.0.0.1:0", Timeout: 500 * time.Millisecond, Log: log})
	fleet := gossip.New(options)
	for _, service := range append(services, control, fleet) {
		require.NoError(t, k.Register(service))
	}
	started, err := k.Start(context.Background())
	require.NoError(t, err)
	fleet.SetPeers("peers-of-" + options.Self.ID)
	require.NoError(t, fleet.SetState(member.StateServing))
	i := &instance{Gossip: fleet, address: control.Address()}
	i.stop = sync.OnceFunc(func() { _ = started.Stop(context.Background()) })
	t.Cleanup(i.stop)

	return i
}

func startMany(t *testing.T, count int) []*instance {
	t.Helper()
	var instances []*instance
	for n := range count {
		options := gossip.Options{Self: member.Entry{ID: fmt.Sprint("n", n), Incarnation: 1, DataCentre: fmt.Sprint("hal-", n%2)}}
		if n > 0 {
			options.Seeds = []string{instances[0].address}
		}
		instances = append(instances, start(t, options))
	}
	require.Eventually(t, func() bool {
		for _, node := range instances {
			if len(node.Members("logboek")) != count {
				return false
			}
		}

		return true
	}, waitTimeout, pollInterval)

	return instances
}

func stateOf(observer *instance, id string) member.State {
	for _, status := range observer.Status().Members {
		if status.ID == id {
			return status.State
		}
	}

	return ""
}

func TestNodesDiscoverEachOtherAndADepartingNode(t *testing.T) {
	instances := startMany(t, 8)
	departing := instances[3]
	require.NoError(t, departing.SetState(member.StateDraining))
	for _, node := range instances {
		require.Eventually(t, func() bool { return stateOf(node, "n3") == member.StateDraining }, waitTimeout, pollInterval)
	}
	require.NoError(t, departing.SetState(member.StateLeft))
	departing.stop()
	for _, node := range instances {
		if node != departing {
			require.Eventually(t, func() bool { return stateOf(node, "n3") == member.StateLeft }, waitTimeout, pollInterval)
			require.Len(t, node.Members("logboek"), 7)
		}
	}
}

// Guards against a planned stop in which no time is left for the services that stop after gossip.
func TestStopLeavesTimeForOtherServices(t *testing.T) {
	departing := startMany(t, 3)[0]
	require.NoError(t, departing.SetState(member.StateDraining))
	require.NoError(t, departing.SetState(member.StateLeft))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.NoError(t, departing.Stop(ctx))
	require.NoError(t, ctx.Err())
}

func TestKilledNodeIsDeclaredDeadAndItsRestartJoins(t *testing.T) {
	instances := startMany(t, 6)
	instances[5].stop()
	for _, node := range instances[:5] {
		require.Eventually(t, func() bool { return stateOf(node, "n5") == member.StateDead }, waitTimeout, pollInterval)
	}
	restarted := start(t, gossip.Options{
		Self: member.Entry{ID: "n5", Incarnation: 2, DataCentre: "hal-1"}, Seeds: []string{instances[0].address},
	})
	for _, node := range append(instances[:5], restarted) {
		require.Eventually(t, func() bool {
			return stateOf(node, "n5") == member.StateServing && len(node.Members("logboek")) == 6
		}, waitTimeout, pollInterval)
	}
}

func TestFixedTargetsKeepConfiguredAddresses(t *testing.T) {
	other := start(t, gossip.Options{Self: member.Entry{ID: "other", Incarnation: 7}})
	one := start(t, gossip.Options{Self: member.Entry{ID: "one", Incarnation: 7}, Targets: []config.Target{
		{Name: "other", DataCentre: "hal-a", Service: "logboek", Peers: "by-another-way", Control: other.address},
	}})
	require.Eventually(t, func() bool {
		members := one.Members("logboek")

		return len(members) == 2 && members[1].Incarnation == 7 && members[1].Peers == "by-another-way"
	}, waitTimeout, pollInterval)
	require.Eventually(t, func() bool { return len(other.Members("logboek")) == 2 }, waitTimeout, pollInterval)
	require.Equal(t, "peers-of-one", other.Members("logboek")[0].Peers)
}

func TestNodesJoinThroughContactTable(t *testing.T) {
	platform, closePlatform, err := plat.New(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(closePlatform)
	var instances []*instance
	for n := range 4 {
		table := store.New(store.Options{Table: platform.Address()})
		instances = append(instances, start(t, gossip.Options{Self: member.Entry{ID: fmt.Sprint("n", n), Incarnation: 1}}, table))
	}
	for _, node := range instances {
		require.Eventually(t, func() bool { return len(node.Members("logboek")) == 4 }, waitTimeout, pollInterval)
	}
}

func TestStatusReportsUnreachableDataCentre(t *testing.T) {
	instances := startMany(t, 4)
	instances[1].stop()
	instances[3].stop()
	require.Eventually(t, func() bool {
		return strings.Contains(strings.Join(instances[0].Status().Degraded, "\n"), "data centre hal-1 gave no answer for")
	}, waitTimeout, pollInterval)
	require.Equal(t, member.StateSuspect, stateOf(instances[0], "n1"))
}

// panickingTable is a table service whose rows bring about an unexpected error each time.
type panickingTable struct {
	done  chan error
	lists atomic.Int64
}

func (*panickingTable) String() string { return store.Name }

func (p *panickingTable) Start(context.Context, *kernel.Kernel) (<-chan error, error) {
	return p.done, nil
}

func (p *panickingTable) Stop(context.Context) error {
	p.done <- nil

	return nil
}

func (*panickingTable) Configured() bool { return true }

func (*panickingTable) Put(context.Context, string, []byte, string) (string, error) { return "", nil }

func (*panickingTable) Delete(context.Context, string, string) error { return nil }

func (p *panickingTable) List(context.Context, string, string) ([]store.Row, error) {
	p.lists.Add(1)
	panic("unexpected row")
}

func (*panickingTable) Era() (uint64, <-chan struct{}) { return 0, nil }

func TestPanicInBackgroundWorkEndsNoNode(t *testing.T) {
	table := &panickingTable{done: make(chan error, 1)}
	first := start(t, gossip.Options{Self: member.Entry{ID: "n0", Incarnation: 1}}, table)
	require.Eventually(t, func() bool { return table.lists.Load() > 1 }, waitTimeout, pollInterval)
	second := start(t, gossip.Options{Self: member.Entry{ID: "n1", Incarnation: 1}, Seeds: []string{first.address}})
	require.Eventually(t, func() bool { return stateOf(first, "n1") == member.StateServing }, waitTimeout, pollInterval)
	require.Eventually(t, func() bool { return stateOf(second, "n0") == member.StateServing }, waitTimeout, pollInterval)
}
