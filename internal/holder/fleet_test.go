package holder_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/holder"
	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/peers"
	"github.com/pistachiotack/pistachiotack/internal/plat"
	"github.com/pistachiotack/pistachiotack/internal/store"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/trial"
)

// testTimeout bounds the wait for each condition.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	flag.Parse()
	hlog.SetLevel(hlog.LevelFatal)
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// initialTree is the text of the first revision in most tests.
const initialTree = `places = ["hal-a", "hal-b"]
services = ["logboek", "alarm"]
trialTime = "1s"
trialShare = 0.25
attempts = 4
`

// memberList is a fleet whose members the test adds.
type memberList struct {
	mu      sync.Mutex
	entries []member.Entry
}

func (r *memberList) All() []member.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()

	return append([]member.Entry(nil), r.entries...)
}

func (r *memberList) add(entry member.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, entry)
}

// stubService implements the methods of kernel.Service for fakes that embed it.
type stubService struct {
	name string
	done chan error
}

func newStubService(name string) stubService {
	return stubService{name: name, done: make(chan error, 1)}
}

func (p stubService) String() string { return p.name }

func (p stubService) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return p.done, nil }

func (p stubService) Stop(context.Context) error { return nil }

// fakeGossip replaces the service `gossip`; it lists the members of the test's fleet.
type fakeGossip struct {
	stubService
	*memberList
}

// fakeGoodput is a goodput source whose count grows by an increment each time it is read.
type fakeGoodput struct {
	stubService
	mu        sync.Mutex
	count     trial.Count
	increment func() trial.Count
}

// allGood is an increment without failed requests.
func allGood() trial.Count { return trial.Count{Offered: 100, Good: 100} }

func (g *fakeGoodput) Goodput() trial.Count {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count = g.count.Plus(g.increment())

	return g.count
}

// node is a holder with a function that stops it and its control channel.
type node struct {
	*holder.Holder
	stop func()
}

// fleet is a set of nodes that share a platform with a table.
type fleet struct {
	t        testing.TB
	platform *plat.Platform
	store    *store.Store
	members  *memberList
	options  holder.Options
	nodes    []node
	controls []*peers.Service
}

func newFleet(t testing.TB, size int) *fleet {
	platform, cleanup, err := plat.New(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(cleanup)
	f := &fleet{t: t, platform: platform, members: &memberList{}, options: holder.Options{PollInterval: 200 * time.Millisecond, ExchangeInterval: 100 * time.Millisecond}}
	f.store = f.newStore()
	for range size {
		f.addNode(allGood)
	}

	return f
}

func (f *fleet) newStore() *store.Store {
	return store.New(store.Options{Table: f.platform.Address(), Timeout: 300 * time.Millisecond})
}

// addNode starts another node, whose service `entry` counts the increment at each observation.
func (f *fleet) addNode(increment func() trial.Count) node {
	options := f.options
	options.Node = fmt.Sprint("n", len(f.nodes))
	control := peers.New(peers.Options{Listen: "127.0.0.1:0"})
	h := holder.New(options)
	k := kernel.New(nil)
	services := []kernel.Service{control, fakeGossip{newStubService("gossip"), f.members}, f.newStore(), &fakeGoodput{stubService: newStubService("entry"), increment: increment}, h}
	for _, service := range services {
		require.NoError(f.t, k.Register(service))
	}
	ctx := context.Background()
	_, err := control.Start(ctx, k)
	require.NoError(f.t, err)
	service, place := []string{"logboek", "alarm"}[len(f.nodes)%2], []string{"hal-a", "hal-b"}[len(f.nodes)/2%2]
	f.members.add(member.Entry{ID: options.Node, Control: control.Address(), Service: service, DataCentre: place, State: member.StateServing})
	_, err = h.Start(ctx, k)
	require.NoError(f.t, err)
	n := node{Holder: h, stop: sync.OnceFunc(func() { _, _ = h.Stop(ctx), control.Stop(ctx) })}
	f.t.Cleanup(n.stop)
	f.nodes = append(f.nodes, n)
	f.controls = append(f.controls, control)

	return n
}

// storeRevision stores the first revision without a trial, and waits until it is in force on all nodes.
func (f *fleet) storeRevision(text string) {
	record := holder.Record{Ancestor: holder.Ancestor{Revision: 1, Edit: "seed", Author: "test"}, Text: text}
	value, err := json.Marshal(record)
	require.NoError(f.t, err)
	_, err = f.store.Put(context.Background(), "settings/head", value, "")
	require.NoError(f.t, err)
	f.waitForRevision(1)
}

// waitForRevision waits until the revision or a later one is in force on every node.
func (f *fleet) waitForRevision(revision uint64) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, n := range f.nodes {
			if n.Snapshot().Revision() < revision {
				return false
			}
		}

		return true
	}, testTimeout, time.Millisecond)
}

// edit returns an edit that changes one setting of the tree in use on the node.
func (n node) edit(t testing.TB, author, path, value string) holder.Edit {
	t.Helper()
	wanted, err := n.Snapshot().Tree().Set(path, value)
	require.NoError(t, err)

	return holder.Edit{Author: author, Base: n.Record().Revision, Text: wanted.Text()}
}
