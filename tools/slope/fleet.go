package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pistachiotack/pistachiotack/internal/gossip"
	"github.com/pistachiotack/pistachiotack/internal/holder"
	"github.com/pistachiotack/pistachiotack/internal/plat"
	"github.com/pistachiotack/pistachiotack/internal/procs"
	"github.com/pistachiotack/pistachiotack/pkg/config"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

const (
	dataCentres  = 6
	services     = 53
	readyTimeout = time.Minute
	stopTimeout  = 10 * time.Second
	agreePoll    = 200 * time.Millisecond
	// settle is the wait before a phase, so that it does not count what went before.
	settle = 5 * time.Second
	// treeText is the tree of the fleet, without names of its own; trials are as short as they can be.
	treeText = "attempts = 6\ntrialTime = \"1s\"\n"
)

// options describe one size.
type options struct {
	size      int
	binary    string
	directory string
	time      time.Duration
	seed      uint64
}

// fleet is a number of real nodes without backend servers.
type fleet struct {
	options  options
	nodes    []*procs.Process
	platform *plat.Platform
	random   *rand.Rand
}

// startFleet starts the nodes and waits until each knows all; the clean-up ends them.
func startFleet(ctx context.Context, o options) (*fleet, func(), error) {
	platform, closePlatform, err := plat.New(ctx, "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	f := &fleet{options: o, platform: platform, random: rand.New(rand.NewPCG(o.seed, uint64(o.size)))}
	clean := func() {
		f.stop()
		closePlatform()
	}
	if err := f.start(ctx); err != nil {
		clean()

		return nil, nil, err
	}

	return f, clean, nil
}

func (f *fleet) start(ctx context.Context) error {
	directory := filepath.Join(f.options.directory, fmt.Sprint(f.options.size))
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return errors.Wrap(err, "make directory")
	}
	treeFile := filepath.Join(directory, "tree.toml")
	if err := os.WriteFile(treeFile, []byte(treeText), fileMode); err != nil {
		return errors.Wrap(err, "write tree")
	}
	for i := range f.options.size {
		node, err := procs.StartProcess(ctx, f.options.binary, directory, f.settings(i, treeFile))
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, node)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, node := range f.nodes {
		if err := node.Ready(ctx); err != nil {
			return err
		}
	}

	return f.agree(ctx)
}

func (f *fleet) settings(i int, treeFile string) config.Node {
	return config.Node{
		Name:       fmt.Sprintf("node-%04d", i),
		DataCentre: fmt.Sprint("hal-", i%dataCentres),
		Service:    fmt.Sprint("service-", i%services),
		Tree:       treeFile,
		Platform:   config.Platform{Table: f.platform.Address(), Objects: f.platform.Address()},
	}.WithDefaults()
}

// agree waits until every node sees all as living.
func (f *fleet) agree(ctx context.Context) error {
	for _, node := range f.nodes {
		for {
			status, err := f.status(ctx, node)
			if err == nil && living(status) == len(f.nodes) {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Newf("%s sees %d of %d nodes living: %v", node.Settings().Name, living(status), len(f.nodes), err)
			case <-time.After(agreePoll):
			}
		}
	}

	return nil
}

func living(status gossip.Status) int {
	count := 0
	for _, m := range status.Members {
		if !m.State.Ended() && m.State != member.StateSuspect {
			count++
		}
	}

	return count
}

func (f *fleet) status(ctx context.Context, node *procs.Process) (gossip.Status, error) {
	var status gossip.Status

	return status, ask(ctx, http.MethodGet, node.Settings().Listen.Operators, gossip.PathStatus, nil, &status)
}

// edit proposes one change at the first node and waits for its end.
func (f *fleet) edit(ctx context.Context, number int) error {
	query := url.Values{"path": {"attempts"}, "value": {fmt.Sprint(4 + number%8)}, "author": {"slope"}, "untested": {"true"}}
	var result holder.Result
	if err := ask(ctx, http.MethodPost, f.nodes[0].Settings().Listen.Operators, holder.PathSet, query, &result); err != nil {
		return err
	}
	if result.State != "accepted" {
		return errors.Newf("edit %d is %s: %+v", number, result.State, result)
	}

	return nil
}

// restart ends a random node but the first gracefully and starts it again.
func (f *fleet) restart(ctx context.Context) error {
	node := f.nodes[1+f.random.IntN(len(f.nodes)-1)]
	if err := node.Terminate(); err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := node.Wait(bounded); err != nil {
		return err
	}
	if err := node.Restart(ctx); err != nil {
		return err
	}

	return node.Ready(bounded)
}

// stop ends all nodes at once, without their farewells.
func (f *fleet) stop() {
	var ends errgroup.Group
	for _, node := range f.nodes {
		ends.Go(node.Kill)
	}
	_ = ends.Wait()
}

func ask(ctx context.Context, method, address, path string, query url.Values, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path+"?"+query.Encode(), nil)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "ask %s", address)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(answer.Body)

		return errors.Newf("%s%s answers %s: %s", address, path, answer.Status, text)
	}

	return errors.Wrap(json.NewDecoder(answer.Body).Decode(into), "decode answer")
}
