package procs

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/load"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/config"
)

// LatencyOptions describe a measurement of what two nodes add to a call.
type LatencyOptions struct {
	Binary    string
	Directory string
	Policy    string
	// Decisions switches the decision log.
	Decisions bool
	// Rate is calls a second through the nodes, and as many direct ones.
	Rate float64
	Work time.Duration
	// Time is that of the open loop, and of each closed loop.
	Time time.Duration
	// Loop is the number of callers in the closed loop.
	Loop int
	Seed uint64
}

// Way is what was measured on one way to the backend server.
type Way struct {
	Name   string
	Calls  int
	Failed int
	// Rate is in calls a second.
	Rate float64
	P50  time.Duration
	P90  time.Duration
	P99  time.Duration
	P999 time.Duration
}

// NodeCost is what one node used.
type NodeCost struct {
	Name string
	// OpenCPU and LoopCPU are processor time for each call.
	OpenCPU time.Duration
	LoopCPU time.Duration
	// Rest, After and Peak are resident bytes.
	Rest  int64
	After int64
	Peak  int64
}

// Latency is the result of a measurement.
type Latency struct {
	Direct      Way
	Through     Way
	LoopDirect  Way
	LoopThrough Way
	Nodes       []NodeCost
}

const (
	latencyService = "logboek"
	latencySlots   = 512
	latencyBytes   = 1 << 10
	latencyWarm    = time.Second
	patience       = 5 * time.Second
	precision      = 3
	maxMicros      = 60_000_000
)

// latencyExample has an entry node in front of a service of its own, and one executing node.
func latencyExample(work time.Duration) load.Example {
	return load.Example{
		Name: "latency", Scale: 1, DataCentres: []string{"hal-a"}, Deep: latencyService,
		Services: []load.Service{
			{Name: latencyService, Targets: 1, Slots: latencySlots, Connections: 2 * latencySlots},
			{Name: "keuring", Targets: 1, Slots: latencySlots, Connections: 2 * latencySlots},
		},
		Kinds: []load.Kind{{
			Name: "readings", Service: latencyService, Method: http.MethodGet, Path: "/cells/%d/readings/day",
			Share: 1, Class: call.ClassNormal, Bytes: latencyBytes, Work: work, Deadline: 2 * time.Second,
		}},
	}
}

// MeasureLatency runs two nodes and pairs calls through them with direct calls in one run.
func MeasureLatency(ctx context.Context, options LatencyOptions) (*Latency, error) {
	fleet, clean, err := Start(ctx, Options{
		Example: latencyExample(options.Work), Seed: options.Seed, Binary: options.Binary, Directory: options.Directory, Policy: options.Policy,
		Change: func(n *config.Node) { n.Log.Decisions = options.Decisions },
	})
	if err != nil {
		return nil, err
	}
	defer clean()
	executing, entry := fleet.Members[0], fleet.Members[1]
	executing.Backend.Server.Change(func(b *fake.Behaviour) { b.Spread = 0 })
	m := &measure{
		options: options, client: fake.NewClient(),
		direct: newRecorder("direct", executing.Backend.Server.Address()), through: newRecorder("through two nodes", entry.Node.Settings().Listen.Callers),
	}
	defer m.client.CloseIdleConnections()

	return m.run(ctx, []*Process{entry.Node, executing.Node})
}

// measure is one measurement while it goes on.
type measure struct {
	options LatencyOptions
	client  *http.Client
	direct  *recorder
	through *recorder
}

func (m *measure) run(ctx context.Context, nodes []*Process) (*Latency, error) {
	rest, err := usages(nodes)
	if err != nil {
		return nil, err
	}
	m.openLoop(ctx, latencyWarm)
	m.direct.reset()
	m.through.reset()
	before, err := usages(nodes)
	if err != nil {
		return nil, err
	}
	m.openLoop(ctx, m.options.Time)
	result := &Latency{Direct: m.direct.way(m.options.Time), Through: m.through.way(m.options.Time)}
	middle, err := usages(nodes)
	if err != nil {
		return nil, err
	}
	result.LoopDirect = m.closedLoop(ctx, m.direct)
	result.LoopThrough = m.closedLoop(ctx, m.through)
	after, err := usages(nodes)
	if err != nil {
		return nil, err
	}
	for i, node := range nodes {
		result.Nodes = append(result.Nodes, NodeCost{
			Name: node.Settings().Name, Rest: rest[i].Resident, After: after[i].Resident, Peak: after[i].Peak,
			OpenCPU: (middle[i].CPU - before[i].CPU) / time.Duration(max(1, result.Through.Calls)),
			LoopCPU: (after[i].CPU - middle[i].CPU) / time.Duration(max(1, result.LoopThrough.Calls)),
		})
	}

	return result, ctx.Err()
}

func usages(nodes []*Process) ([]Usage, error) {
	var all []Usage
	for _, node := range nodes {
		usage, err := node.Usage()
		if err != nil {
			return nil, err
		}
		all = append(all, usage)
	}

	return all, nil
}

// openLoop sends calls by turns direct and through the nodes, at random times of a fixed rate.
func (m *measure) openLoop(ctx context.Context, length time.Duration) {
	random := rand.New(rand.NewPCG(m.options.Seed, 3))
	var calls sync.WaitGroup
	defer calls.Wait()
	began := time.Now()
	ways := [...]*recorder{m.direct, m.through}
	at := time.Duration(0)
	for number := 0; at < length && ctx.Err() == nil; number++ {
		at += time.Duration(random.ExpFloat64() / (2 * m.options.Rate) * float64(time.Second))
		time.Sleep(time.Until(began.Add(at)))
		calls.Add(1)
		go func() {
			defer calls.Done()
			ways[number%len(ways)].call(ctx, m.client)
		}()
	}
}

// closedLoop lets callers ask one after the other as fast as they are answered.
func (m *measure) closedLoop(ctx context.Context, recorder *recorder) Way {
	recorder.reset()
	began := time.Now()
	var callers sync.WaitGroup
	for range m.options.Loop {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for time.Since(began) < m.options.Time && ctx.Err() == nil {
				recorder.call(ctx, m.client)
			}
		}()
	}
	callers.Wait()

	return recorder.way(time.Since(began))
}

// recorder takes the latencies of one way.
type recorder struct {
	name string
	url  string

	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	failed    int
}

func newRecorder(name, address string) *recorder {
	r := &recorder{name: name, url: "http://" + address + "/cells/1/readings/day?" + fake.QueryRequest + "=latency"}
	r.reset()

	return r
}

func (r *recorder) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.histogram = hdrhistogram.New(1, maxMicros, precision)
	r.failed = 0
}

func (r *recorder) call(ctx context.Context, client *http.Client) {
	began := time.Now()
	err := r.exchange(ctx, client)
	took := time.Since(began)

	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failed++

		return
	}
	_ = r.histogram.RecordValue(took.Microseconds())
}

func (r *recorder) exchange(ctx context.Context, client *http.Client) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	request.Header.Set(wire.HeaderService, latencyService)
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	defer func() { _ = response.Body.Close() }()
	length, err := io.Copy(io.Discard, response.Body)
	if err != nil || length != latencyBytes || response.StatusCode != http.StatusOK {
		return errors.Newf("answer of %d bytes with status %d: %v", length, response.StatusCode, err)
	}

	return nil
}

func (r *recorder) way(length time.Duration) Way {
	r.mu.Lock()
	defer r.mu.Unlock()
	quantile := func(q float64) time.Duration {
		return time.Duration(r.histogram.ValueAtQuantile(q)) * time.Microsecond
	}
	calls := int(r.histogram.TotalCount())

	return Way{
		Name: r.name, Calls: calls, Failed: r.failed, Rate: float64(calls) / length.Seconds(),
		P50: quantile(50), P90: quantile(90), P99: quantile(99), P999: quantile(99.9),
	}
}
