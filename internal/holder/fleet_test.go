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

const patience = 20 * time.Second

func TestMain(m *testing.M) {
	flag.Parse()
	hlog.SetLevel(hlog.LevelFatal)
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// start is the tree that most tests begin with.
const start = `places = ["hal-a", "hal-b"]
services = ["logboek", "alarm"]
trialTime = "1s"
trialShare = 0.25
attempts = 4
`

// roster is a fleet that tests name.
type roster struct {
	mu      sync.Mutex
	entries []member.Entry
}

func (r *roster) All() []member.Entry {
	r.mu.Lock()
	defer r.mu.Unlock()

	return append([]member.Entry(nil), r.entries...)
}

func (r *roster) add(entry member.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, entry)
}

// part is a kernel service around anything.
type part struct {
	name string
	done chan error
}

func newPart(name string) part { return part{name: name, done: make(chan error, 1)} }

func (p part) String() string { return p.name }

func (p part) Start(context.Context, *kernel.Kernel) (<-chan error, error) { return p.done, nil }

func (p part) Stop(context.Context) error { return nil }

type gossip struct {
	part
	*roster
}

// gauge counts some more requests each time it is looked at.
type gauge struct {
	part
	mu    sync.Mutex
	count trial.Count
	more  func() trial.Count
}

func good() trial.Count { return trial.Count{Offered: 100, Good: 100} }

func (g *gauge) Goodput() trial.Count {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count = g.count.Plus(g.more())

	return g.count
}

// node is one holder with what it needs around it.
type node struct {
	*holder.Holder
	stop func()
}

type fleet struct {
	t        testing.TB
	platform *plat.Platform
	store    *store.Store
	roster   *roster
	options  holder.Options
	nodes    []node
	controls []*peers.Service
}

func newFleet(t testing.TB, size int) *fleet {
	platform, cleanup, err := plat.New(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(cleanup)
	f := &fleet{t: t, platform: platform, roster: &roster{}, options: holder.Options{PollInterval: 200 * time.Millisecond, ExchangeInterval: 100 * time.Millisecond}}
	f.store = f.newStore()
	for range size {
		f.grow(good)
	}

	return f
}

func (f *fleet) newStore() *store.Store {
	s, err := store.New(store.Options{Table: f.platform.Address(), Timeout: 300 * time.Millisecond})
	require.NoError(f.t, err)

	return s
}

// grow starts one more node, whose entry counts that much more at each look.
func (f *fleet) grow(more func() trial.Count) node {
	options := f.options
	options.Node = fmt.Sprint("n", len(f.nodes))
	control := peers.New(peers.Options{Listen: "127.0.0.1:0"})
	h := holder.New(options)
	k := kernel.New(nil)
	services := []kernel.Service{control, gossip{newPart("gossip"), f.roster}, f.newStore(), &gauge{part: newPart("entry"), more: more}, h}
	for _, service := range services {
		require.NoError(f.t, k.Register(service))
	}
	ctx := context.Background()
	_, err := control.Start(ctx, k)
	require.NoError(f.t, err)
	service, place := []string{"logboek", "alarm"}[len(f.nodes)%2], []string{"hal-a", "hal-b"}[len(f.nodes)/2%2]
	f.roster.add(member.Entry{ID: options.Node, Control: control.Address(), Service: service, DataCentre: place, State: member.StateServing})
	_, err = h.Start(ctx, k)
	require.NoError(f.t, err)
	n := node{Holder: h, stop: sync.OnceFunc(func() { _, _ = h.Stop(ctx), control.Stop(ctx) })}
	f.t.Cleanup(n.stop)
	f.nodes = append(f.nodes, n)
	f.controls = append(f.controls, control)

	return n
}

// seed puts a first revision into force without a trial.
func (f *fleet) seed(text string) {
	record := holder.Record{Ancestor: holder.Ancestor{Revision: 1, Edit: "seed", Author: "test"}, Text: text}
	value, err := json.Marshal(record)
	require.NoError(f.t, err)
	_, err = f.store.Put(context.Background(), "settings/head", value, "")
	require.NoError(f.t, err)
	f.await(1)
}

// await waits until every node has the revision or a later one in force.
func (f *fleet) await(revision uint64) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, n := range f.nodes {
			if n.Snapshot().Revision() < revision {
				return false
			}
		}

		return true
	}, patience, time.Millisecond)
}

// edit makes an edit of what the node holds.
func (n node) edit(t testing.TB, author, path, value string) holder.Edit {
	t.Helper()
	wanted, err := n.Snapshot().Tree().Set(path, value)
	require.NoError(t, err)

	return holder.Edit{Author: author, Base: n.Record().Revision, Text: wanted.Text()}
}
