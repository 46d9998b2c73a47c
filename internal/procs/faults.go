package procs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/fault"
	"github.com/pistachiotack/pistachiotack/internal/plat"
)

const (
	storeDelay   = 700 * time.Millisecond
	drainPatient = 40 * time.Second
)

// act is one switch of a scenario.
type act func(ctx context.Context, f *Fleet) error

// Faults returns the scenarios in which VMs, links and the store fail, alone and two at a time.
func Faults() []Scenario {
	down := store(plat.NewFault(plat.ModeDown))
	noAnswer := store(plat.NewFault(plat.ModeNoAnswer))
	up := store(plat.NewFault(plat.ModeNone))

	return []Scenario{
		{Name: "storeDown", Begin: down, End: up},
		{Name: "storeSlow", Begin: store(plat.NewFault(plat.ModeSlow).WithDelay(storeDelay)), End: up},
		{Name: "storeNoAnswer", Begin: noAnswer, End: up},
		{Name: "third", Begin: replaceThird},
		{Name: "dataCentre", Linked: true, Begin: cut, End: heal},
		{Name: "rolling", Begin: rolling},
		{Name: "pause", Begin: pause, End: resume},
		{Name: "silentLinks", Linked: true, Begin: silenceLinks},
		{Name: "storeDownThird", Begin: both(down, replaceThird), End: up},
		{Name: "storeNoAnswerPause", Begin: both(noAnswer, pause), End: both(up, resume)},
		{Name: "dataCentreThird", Linked: true, Begin: both(cut, replaceThird), End: heal},
		{Name: "storeDownRolling", Begin: both(down, rolling), End: up},
		{Name: "thirdTwice", Begin: replaceThird, End: replaceThird},
		{Name: "pauseSurge", Rate: surgeRate, Begin: pause, End: resume},
	}
}

// both makes two switches one after the other.
func both(one, two act) act {
	return func(ctx context.Context, f *Fleet) error {
		if err := one(ctx, f); err != nil {
			return err
		}

		return two(ctx, f)
	}
}

func store(fault plat.Fault) act {
	return func(_ context.Context, f *Fleet) error {
		if f.Platform != nil {
			f.Platform.SetFault(fault)
		}

		return nil
	}
}

// cut takes the last data centre away from the others.
func cut(_ context.Context, f *Fleet) error {
	if f.links != nil {
		f.links.Set(f.last(), fault.Fault{Silent: true})
	}

	return nil
}

// heal lets new connections through; those from before the cut are lost, as their bytes are.
func heal(_ context.Context, f *Fleet) error {
	if f.links != nil {
		f.links.Set(f.last(), fault.Fault{})
		f.links.Reset(f.last())
	}

	return nil
}

func (f *Fleet) last() string {
	return f.options.Example.DataCentres[len(f.options.Example.DataCentres)-1]
}

// silenceLinks loses track of all open connections to the nodes of the deep service.
func silenceLinks(_ context.Context, f *Fleet) error {
	if f.links == nil {
		return nil
	}
	for _, member := range f.Of(f.options.Example.Deep) {
		f.links.SilenceOpen(member.Backend.Name)
	}

	return nil
}

// rolling restarts all nodes in turn, each gracefully.
func rolling(ctx context.Context, f *Fleet) error {
	for _, member := range f.Members {
		if member.Node == nil {
			continue
		}
		if err := f.RestartGracefully(ctx, member.Node); err != nil {
			return err
		}
	}

	return nil
}

// RestartGracefully stops a node by SIGTERM, waits for its end and starts it again.
func (f *Fleet) RestartGracefully(ctx context.Context, node *Process) error {
	if err := node.Terminate(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, drainPatient)
	defer cancel()
	if err := node.Wait(ctx); err != nil {
		return errors.Wrap(err, "graceful stop")
	}
	if err := node.Restart(ctx); err != nil {
		return err
	}

	return node.Ready(ctx)
}

// pause stops one node of the deep service without its knowledge.
func pause(_ context.Context, f *Fleet) error {
	return f.firstNode((*Process).Pause)
}

func resume(_ context.Context, f *Fleet) error {
	return f.firstNode((*Process).Resume)
}

func (f *Fleet) firstNode(apply func(*Process) error) error {
	node := f.Of(f.options.Example.Deep)[0].Node
	if node == nil {
		return nil
	}

	return apply(node)
}
