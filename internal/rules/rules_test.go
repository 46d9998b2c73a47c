package rules_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/meter"
	"github.com/pistachiotack/pistachiotack/internal/rules"
	"github.com/pistachiotack/pistachiotack/pkg/eras"
	"github.com/pistachiotack/pistachiotack/pkg/member"
	"github.com/pistachiotack/pistachiotack/pkg/routes"
)

// newest is the version that the other nodes have.
const newest = 5

// idle is the part of a kernel service that does nothing.
type idle struct{}

func (idle) Start(context.Context, *kernel.Kernel) (<-chan error, error) {
	return make(chan error), nil
}

func (idle) Stop(context.Context) error { return nil }

// silentFeed is a platform that never responds.
type silentFeed struct{}

func (silentFeed) Newest(ctx context.Context) (rules.Manifest, eras.Version, error) {
	<-ctx.Done()

	return nil, eras.Version{}, ctx.Err()
}

func (silentFeed) Next(ctx context.Context, _ eras.Version, _ time.Duration) (rules.Manifest, eras.Version, error) {
	return silentFeed{}.Newest(ctx)
}

func (silentFeed) Decode(rules.Manifest) (*routes.Table, error) {
	return routes.NewTable(newest, []routes.Route{{
		Name: "read", Host: "a.example", Prefix: "/", Services: []routes.WeightedService{{Service: "leaf", Weight: 1}}, Attempts: 1,
	}})
}

// members are nodes that have the newest version.
type members struct {
	idle

	controls []string
}

func (*members) String() string { return "gossip" }

func (m *members) All() []member.Entry {
	var all []member.Entry
	for _, control := range m.controls {
		all = append(all, member.Entry{ID: control, Control: control, Revision: newest})
	}

	return all
}

// control reaches the nodes except for those that are frozen.
type control struct {
	idle

	frozen map[string]bool
}

func (*control) String() string { return "control" }

func (*control) Register(string, any) error { return nil }

func (c *control) Call(ctx context.Context, address, _ string, _, reply any) error {
	if c.frozen[address] {
		<-ctx.Done()

		return ctx.Err()
	}
	*reply.(*rules.FetchReply) = rules.FetchReply{Version: newest, Text: []byte("routes")}

	return nil
}

// One of the nodes that have the newest version may be frozen, or gone since it announced the version.
func TestNodeThatDoesNotAnswerKeepsNobodyFromNewerRoutes(t *testing.T) {
	t.Parallel()
	k := kernel.New(slog.New(slog.DiscardHandler))
	service := rules.New(silentFeed{}, slog.New(slog.DiscardHandler))
	for _, s := range []kernel.Service{
		meter.New(nil), &members{controls: []string{"frozen", "a", "b"}}, &control{frozen: map[string]bool{"frozen": true}}, service,
	} {
		require.NoError(t, k.Register(s))
	}
	_, err := service.Start(t.Context(), k)
	require.NoError(t, err)
	t.Cleanup(func() { _ = service.Stop(context.Background()) })
	require.Eventually(t, func() bool { return service.Revision() == newest }, 10*time.Second, 10*time.Millisecond)
}
