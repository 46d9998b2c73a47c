package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pistachiotack/pistachiotack/internal/procs"
)

// phase is what an average node used over some time.
type phase struct {
	Name string `json:"name"`
	// Events is the number of edits or restarts in it.
	Events  int     `json:"events"`
	Seconds float64 `json:"seconds"`
	Core    float64 `json:"corePercent"`
	Sent    float64 `json:"sentBytesPerSecond"`
	Got     float64 `json:"receivedBytesPerSecond"`
	Dials   float64 `json:"dialsPerSecond"`
	RSS     float64 `json:"residentMiB"`
	Worst   float64 `json:"worstResidentMiB"`
}

// result is one size of the fleet.
type result struct {
	Nodes  int     `json:"nodes"`
	Phases []phase `json:"phases"`
}

// Names of the phases.
const (
	phaseRest     = "rest"
	phaseEdits    = "edits"
	phaseRestarts = "restarts"
)

// sample is the state of one node's counters; the process tells a restarted node apart.
type sample struct {
	usage       procs.Usage
	sent, got   int64
	dials       int64
	incarnation uint64
}

func measure(ctx context.Context, o options) (result, error) {
	f, clean, err := startFleet(ctx, o)
	if err != nil {
		return result{}, err
	}
	defer clean()
	r := result{Nodes: o.size}
	edits := 0
	for _, step := range []struct {
		name string
		act  func(context.Context) error
	}{
		{name: phaseRest},
		{name: phaseEdits, act: func(ctx context.Context) error { edits++; return f.edit(ctx, edits) }},
		{name: phaseRestarts, act: f.restart},
	} {
		time.Sleep(settle)
		measured, err := f.phase(ctx, step.name, step.act)
		if err != nil {
			return r, err
		}
		r.Phases = append(r.Phases, measured)
	}

	return r, f.agree(ctx)
}

// phase repeats the act for the phase's time and returns what an average node that ran all the while used.
func (f *fleet) phase(ctx context.Context, name string, act func(context.Context) error) (phase, error) {
	before, err := f.sample(ctx)
	if err != nil {
		return phase{}, err
	}
	began := time.Now()
	p := phase{Name: name}
	for time.Since(began) < f.options.time {
		if act == nil {
			time.Sleep(f.options.time)

			continue
		}
		if err := act(ctx); err != nil {
			return p, err
		}
		p.Events++
	}
	p.Seconds = time.Since(began).Seconds()
	after, err := f.sample(ctx)
	if err != nil {
		return p, err
	}
	p.average(before, after)

	return p, nil
}

func (f *fleet) sample(ctx context.Context) ([]sample, error) {
	samples := make([]sample, 0, len(f.nodes))
	for _, node := range f.nodes {
		usage, err := node.Usage()
		if err != nil {
			return nil, err
		}
		status, err := f.status(ctx, node)
		if err != nil {
			return nil, err
		}
		samples = append(samples, sample{
			usage: usage, sent: status.Control.Sent, got: status.Control.Received, dials: status.Control.Dials,
			incarnation: status.Incarnation,
		})
	}

	return samples, nil
}

func (p *phase) average(before, after []sample) {
	count := 0.0
	for i := range before {
		if before[i].incarnation != after[i].incarnation {
			continue
		}
		count++
		p.Core += 100 * (after[i].usage.CPU - before[i].usage.CPU).Seconds() / p.Seconds
		p.Sent += float64(after[i].sent-before[i].sent) / p.Seconds
		p.Got += float64(after[i].got-before[i].got) / p.Seconds
		p.Dials += float64(after[i].dials-before[i].dials) / p.Seconds
		resident := float64(after[i].usage.Resident) / (1 << 20)
		p.RSS += resident
		p.Worst = max(p.Worst, resident)
	}
	for _, figure := range []*float64{&p.Core, &p.Sent, &p.Got, &p.Dials, &p.RSS} {
		*figure /= count
	}
}

func (r result) print(out io.Writer) {
	for _, p := range r.Phases {
		fmt.Fprintf(out, "%4d nodes %-9s %3d events %5.1f s: %.3f%% of a core, %6.0f B/s sent, %6.0f B/s received, %.2f dials/s, %.1f MiB (worst %.1f)\n",
			r.Nodes, p.Name, p.Events, p.Seconds, p.Core, p.Sent, p.Got, p.Dials, p.RSS, p.Worst)
	}
}

// find returns the phase of that name.
func (r result) find(name string) phase {
	at := slices.IndexFunc(r.Phases, func(p phase) bool { return p.Name == name })
	if at < 0 {
		return phase{}
	}

	return r.Phases[at]
}
