package procs

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/load"
	"github.com/pistachiotack/pistachiotack/pkg/config"
)

// Names of the phases of a scenario.
const (
	PhaseBefore = "before"
	PhaseDuring = "during"
	PhaseAfter  = "after"
)

// ordinaryRate is the rate before and after a trigger, as a share of the capacity.
const ordinaryRate = 0.7

// Scenario is one trigger and what it does to a fleet.
type Scenario struct {
	Name string
	// Usual is the rate before and after the trigger as a share of the capacity, zero for the ordinary one.
	Usual float64
	// Rate is the rate during the trigger as a share of the capacity, zero for the usual one.
	Rate float64
	// Linked says that the scenario needs proxies between the nodes.
	Linked bool
	// Hard makes the callers ask again at once during the trigger.
	Hard bool
	// Begin and End switch the trigger, nil for nothing.
	Begin func(ctx context.Context, f *Fleet) error
	End   func(ctx context.Context, f *Fleet) error
}

// Factors of the triggers.
const (
	surgeRate  = 3
	hardRate   = 1.3
	slowFactor = 5
	coldFactor = 4
	coldTime   = 3 * time.Second
	lieLoad    = 0.02
	thirdOfAll = 3
)

// Scenarios returns the triggers of overload and of misleading targets.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "surge", Rate: surgeRate},
		{Name: "slow", Begin: slowDeep(slowFactor), End: slowDeep(1)},
		{Name: "hard", Rate: hardRate, Hard: true},
		{Name: "all", Rate: surgeRate, Hard: true, Begin: slowDeep(slowFactor), End: slowDeep(1)},
		{Name: "failfast", Begin: first(func(b *fake.Behaviour) { b.FailShare = 1 }), End: first(func(b *fake.Behaviour) { b.FailShare = 0 })},
		{Name: "lie", Rate: 1, Begin: first(lying), End: first(func(b *fake.Behaviour) { b.Lie = false; b.Slow = 1 })},
		{Name: "silent", Begin: first(func(b *fake.Behaviour) { b.Silent = true }), End: first(func(b *fake.Behaviour) { b.Silent = false })},
		{Name: "cold", Begin: replaceThird},
	}
}

// FindScenario returns the scenario of that name among those given.
func FindScenario(scenarios []Scenario, name string) (Scenario, error) {
	for _, scenario := range scenarios {
		if scenario.Name == name {
			return scenario, nil
		}
	}

	return Scenario{}, errors.Newf("unknown scenario %q", name)
}

// lying makes a server slow while it reports that it is idle.
func lying(b *fake.Behaviour) {
	b.Lie = true
	b.LieLoad = lieLoad
	b.Slow = slowFactor
}

func slowDeep(factor float64) func(context.Context, *Fleet) error {
	return func(_ context.Context, f *Fleet) error {
		for _, member := range f.Of(f.options.Example.Deep) {
			member.Backend.Server.Change(func(b *fake.Behaviour) { b.Slow = factor })
		}

		return nil
	}
}

// first changes the first server of the service that others call.
func first(change func(*fake.Behaviour)) func(context.Context, *Fleet) error {
	return func(_ context.Context, f *Fleet) error {
		f.Of(f.options.Example.Deep)[0].Backend.Server.Change(change)

		return nil
	}
}

// replaceThird kills every third VM and starts a cold one in its place.
func replaceThird(ctx context.Context, f *Fleet) error {
	for i := 0; i < len(f.Members); i += thirdOfAll {
		if err := f.Replace(ctx, f.Members[i]); err != nil {
			return err
		}
	}

	return nil
}

// Replace kills the node and the backend server of a VM, and starts both anew with empty memories.
func (f *Fleet) Replace(ctx context.Context, member *Member) error {
	if member.Node != nil {
		if err := member.Node.Kill(); err != nil {
			return err
		}
	}
	err := member.Backend.Replace(ctx, f.options.Example, f.options.Seed, func(b *fake.Behaviour) {
		b.ColdFactor = coldFactor
		b.ColdTime = config.Duration(coldTime)
	})
	if err != nil || member.Node == nil {
		return err
	}

	return member.Node.Restart(ctx)
}

// Timing is the length of the three phases.
type Timing struct {
	Before time.Duration
	During time.Duration
	After  time.Duration
}

// Play drives load at the fleet while the scenario happens.
func (f *Fleet) Play(ctx context.Context, scenario Scenario, timing Timing, progress func(load.Point)) (*load.Report, error) {
	capacity, _ := f.options.Example.Capacity()
	ordinary := cmp.Or(scenario.Usual, ordinaryRate)
	rate := cmp.Or(scenario.Rate, ordinary)
	usual := load.MannerPatient
	if f.options.Policy == PolicyNone {
		usual = load.MannerNaive
	}
	during := usual
	if scenario.Hard {
		during = load.MannerHard
	}
	switched := make(chan error, 2)
	report, err := load.Run(ctx, load.Plan{
		Name: scenario.Name, Variant: f.options.Policy, Seed: f.options.Seed, Example: f.options.Example,
		Phases: []load.Phase{
			{Name: PhaseBefore, Time: timing.Before, Rate: ordinary * capacity},
			{Name: PhaseDuring, Time: timing.During, Rate: rate * capacity},
			{Name: PhaseAfter, Time: timing.After, Rate: ordinary * capacity},
		},
		Manners: []load.Manner{usual, during, usual},
		Picker:  f, Ledger: f.Ledger, Prefix: scenario.Name, Progress: progress,
		Begin: func(phase int) { f.change(ctx, scenario, phase, switched) },
	})

	return report, errors.CombineErrors(err, collect(switched))
}

// change starts the switch of a phase beside the arrivals, which must not wait for it.
func (f *Fleet) change(ctx context.Context, scenario Scenario, phase int, switched chan<- error) {
	var act func(context.Context, *Fleet) error
	switch phase {
	case 1:
		act = scenario.Begin
	case 2:
		act = scenario.End
	}
	if act == nil {
		if phase > 0 {
			switched <- nil
		}

		return
	}
	go func() { switched <- act(ctx, f) }()
}

// collect waits for both switches.
func collect(switched <-chan error) error {
	first := <-switched

	return errors.CombineErrors(first, <-switched)
}
