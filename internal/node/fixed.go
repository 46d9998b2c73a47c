package node

import (
	"context"
	"sync/atomic"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

// fixedMembers is a fleet that is named beforehand.
type fixedMembers struct {
	byService atomic.Pointer[map[string][]member.Entry]
	done      chan error
}

func newFixedMembers(entries []member.Entry) *fixedMembers {
	f := &fixedMembers{done: make(chan error, 1)}
	f.set(entries)

	return f
}

func (f *fixedMembers) String() string { return "gossip" }

func (f *fixedMembers) Start(_ context.Context, _ *kernel.Kernel) (<-chan error, error) {
	return f.done, nil
}

func (f *fixedMembers) Stop(_ context.Context) error {
	f.done <- nil

	return nil
}

func (f *fixedMembers) Members(service string) []member.Entry {
	return (*f.byService.Load())[service]
}

func (f *fixedMembers) All() []member.Entry {
	var all []member.Entry
	for _, entries := range *f.byService.Load() {
		all = append(all, entries...)
	}

	return all
}

func (f *fixedMembers) set(entries []member.Entry) {
	byService := map[string][]member.Entry{}
	for _, entry := range entries {
		byService[entry.Service] = append(byService[entry.Service], entry)
	}
	f.byService.Store(&byService)
}
