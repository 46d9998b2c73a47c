package procs_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/fault"
	"github.com/pistachiotack/pistachiotack/internal/plat"
	"github.com/pistachiotack/pistachiotack/internal/procs"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/config"
)

const (
	linePatience = 20 * time.Second
	linePoll     = 5 * time.Millisecond
	lineSlots    = 32
)

// lineService is one service of a line.
type lineService struct {
	name    string
	targets int
	routes  []fake.Route
	// handler takes the place of the stand-in, nil for none.
	handler http.Handler
}

// lineOptions describe a line of services, each target a real node process beside a stand-in.
type lineOptions struct {
	tree     string
	services []lineService
	platform bool
}

type lineTarget struct {
	service string
	backend *fake.Server
	node    *procs.Process
	// link carries the calls of other nodes to this one, but not their questions on the control listener.
	link *fault.Proxy
}

type line struct {
	ledger   *fake.Ledger
	platform *plat.Platform
	targets  []*lineTarget
	client   *http.Client
}

// reply is what a caller got.
type reply struct {
	status  int
	outcome call.Outcome
	header  http.Header
	body    string
	err     error
}

// host keeps the listeners of a test process off the ports that outgoing connections use.
func host(number int) string {
	return fmt.Sprintf("127.%d.2.%d", 1+os.Getpid()%200, number+1)
}

func newLine(t testing.TB, options lineOptions) *line {
	t.Helper()
	l := &line{ledger: fake.NewLedger(), client: fake.NewClient()}
	t.Cleanup(l.client.CloseIdleConnections)
	table := config.Platform{}
	if options.platform {
		platform, clean, err := plat.New(t.Context(), "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(clean)
		l.platform = platform
		table = config.Platform{Table: platform.Address(), Objects: platform.Address(), Timeout: config.Duration(300 * time.Millisecond)}
	}
	directory := t.TempDir()
	file := filepath.Join(directory, "tree.toml")
	require.NoError(t, os.WriteFile(file, []byte(options.tree), 0o600))
	var settings []config.Node
	for _, service := range options.services {
		for i := range service.targets {
			settings = append(settings, l.prepare(t, service, i, file, table))
		}
	}
	l.start(t, directory, settings)

	return l
}

// prepare starts the stand-in and the link of one target, and returns the settings of its node.
func (l *line) prepare(t testing.TB, service lineService, i int, tree string, table config.Platform) config.Node {
	t.Helper()
	number := len(l.targets)
	backend, clean, err := fake.New(t.Context(), fake.Options{Service: service.name, Seed: uint64(number), Routes: service.routes, Ledger: l.ledger},
		fake.Behaviour{Slots: lineSlots, Waiting: lineSlots})
	require.NoError(t, err)
	t.Cleanup(clean)
	listen := config.Listen{}
	require.NoError(t, procs.Reserve(host(number), &listen.Callers, &listen.Peers, &listen.Control, &listen.Backend, &listen.Operators))
	settings := config.Node{
		Name: fmt.Sprintf("%s-%d", service.name, i), DataCentre: "hal-a", Service: service.name, Tree: tree, Platform: table,
		Listen:  listen,
		Backend: config.Backend{Address: backend.Address(), Slots: lineSlots},
	}
	if service.handler != nil {
		server := httptest.NewServer(service.handler)
		t.Cleanup(server.Close)
		settings.Backend.Address = server.Listener.Addr().String()
	}
	link, closeLink, err := fault.New(t.Context(), settings.Listen.Peers)
	require.NoError(t, err)
	t.Cleanup(closeLink)
	l.targets = append(l.targets, &lineTarget{service: service.name, backend: backend, link: link})

	return settings
}

func (l *line) start(t testing.TB, directory string, settings []config.Node) {
	t.Helper()
	binary, err := procs.Binary(t.Context())
	require.NoError(t, err)
	var fleet []config.Target
	for i, s := range settings {
		fleet = append(fleet, config.Target{Name: s.Name, DataCentre: s.DataCentre, Service: s.Service, Peers: l.targets[i].link.Address(), Control: s.Listen.Control})
	}
	ctx, cancel := context.WithTimeout(t.Context(), linePatience)
	defer cancel()
	for i, s := range settings {
		s.Fleet.Targets = fleet
		target := l.targets[i]
		target.node, err = procs.StartProcess(ctx, binary, directory, s)
		require.NoError(t, err)
		target.backend.SetCaller(fake.NewGateway(s.Listen.Backend))
		t.Cleanup(func() { target.end(t) })
	}
	for _, target := range l.targets {
		require.NoError(t, target.node.Ready(ctx))
	}
}

func (target *lineTarget) end(t testing.TB) {
	t.Helper()
	_ = target.node.Resume()
	_ = target.node.Kill()
	if t.Failed() {
		t.Logf("end of the log of %s:\n%s", target.node.Settings().Name, target.node.Log())
	}
}

// restart ends the node with an empty memory and starts it again.
func (target *lineTarget) restart(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.Context()), linePatience)
	defer cancel()
	require.NoError(t, target.node.Restart(ctx))
	require.NoError(t, target.node.Ready(ctx))
}

func (l *line) of(service string) []*lineTarget {
	var found []*lineTarget
	for _, target := range l.targets {
		if target.service == service {
			found = append(found, target)
		}
	}

	return found
}

// call makes one request at the entry, without following redirects; header holds names and values in turn.
func (l *line) call(ctx context.Context, entry *lineTarget, method, uri string, header ...string) reply {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.node.Settings().Listen.Callers+uri, http.NoBody)
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := l.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)

	return reply{
		status: response.StatusCode, header: response.Header, body: string(body), err: err,
		outcome: call.Outcome(response.Header.Get(wire.HeaderOutcome)),
	}
}

func uriOf(path, request string) string {
	return path + "?" + fake.QueryRequest + "=" + request
}
