package gossip_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
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
	patience = 20 * time.Second
	tick     = 5 * time.Millisecond
)

// instance is one process's part in the fleet, without HTTP.
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

// start runs an instance; the options' Self needs an ID and an incarnation.
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
	var all []*instance
	for n := range count {
		options := gossip.Options{Self: member.Entry{ID: fmt.Sprint("n", n), Incarnation: 1, DataCentre: fmt.Sprint("hal-", n%2)}}
		if n > 0 {
			options.Seeds = []string{all[0].address}
		}
		all = append(all, start(t, options))
	}
	require.Eventually(t, func() bool {
		for _, one := range all {
			if len(one.Members("logboek")) != count {
				return false
			}
		}

		return true
	}, patience, tick)

	return all
}

func stateOf(observer *instance, id string) member.State {
	for _, one := range observer.Status().Members {
		if one.ID == id {
			return one.State
		}
	}

	return ""
}

func TestNodesFindEachOtherAndLearnOfALeaver(t *testing.T) {
	all := startMany(t, 8)
	leaver := all[3]
	require.NoError(t, leaver.SetState(member.StateDraining))
	for _, one := range all {
		require.Eventually(t, func() bool { return stateOf(one, "n3") == member.StateDraining }, patience, tick)
	}
	require.NoError(t, leaver.SetState(member.StateLeft))
	leaver.stop()
	for _, one := range all {
		if one != leaver {
			require.Eventually(t, func() bool { return stateOf(one, "n3") == member.StateLeft }, patience, tick)
			require.Len(t, one.Members("logboek"), 7)
		}
	}
}

func TestKilledNodeIsCondemnedAndItsSuccessorKnown(t *testing.T) {
	all := startMany(t, 6)
	all[5].stop()
	for _, one := range all[:5] {
		require.Eventually(t, func() bool { return stateOf(one, "n5") == member.StateDead }, patience, tick)
	}
	successor := start(t, gossip.Options{
		Self: member.Entry{ID: "n5", Incarnation: 2, DataCentre: "hal-1"}, Seeds: []string{all[0].address},
	})
	for _, one := range append(all[:5], successor) {
		require.Eventually(t, func() bool {
			return stateOf(one, "n5") == member.StateServing && len(one.Members("logboek")) == 6
		}, patience, tick)
	}
}

func TestFixedTargetsKeepTheirAddress(t *testing.T) {
	other := start(t, gossip.Options{Self: member.Entry{ID: "other", Incarnation: 7}})
	one := start(t, gossip.Options{Self: member.Entry{ID: "one", Incarnation: 7}, Targets: []config.Target{
		{Name: "other", DataCentre: "hal-a", Service: "logboek", Peers: "by-another-way", Control: other.address},
	}})
	require.Eventually(t, func() bool {
		members := one.Members("logboek")

		return len(members) == 2 && members[1].Incarnation == 7 && members[1].Peers == "by-another-way"
	}, patience, tick)
	require.Eventually(t, func() bool { return len(other.Members("logboek")) == 2 }, patience, tick)
	require.Equal(t, "peers-of-one", other.Members("logboek")[0].Peers)
}

func TestFirstContactsComeFromTheTable(t *testing.T) {
	platform, closePlatform, err := plat.New(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(closePlatform)
	var all []*instance
	for n := range 4 {
		table, err := store.New(store.Options{Table: platform.Address()})
		require.NoError(t, err)
		all = append(all, start(t, gossip.Options{Self: member.Entry{ID: fmt.Sprint("n", n), Incarnation: 1}}, table))
	}
	for _, one := range all {
		require.Eventually(t, func() bool { return len(one.Members("logboek")) == 4 }, patience, tick)
	}
}

func TestStatusTellsOfACutOffDataCentre(t *testing.T) {
	all := startMany(t, 4)
	all[1].stop()
	all[3].stop()
	require.Eventually(t, func() bool {
		return strings.Contains(strings.Join(all[0].Status().Degraded, "\n"), "data centre hal-1 gave no answer for")
	}, patience, tick)
	require.Equal(t, member.StateSuspect, stateOf(all[0], "n1"))
}
