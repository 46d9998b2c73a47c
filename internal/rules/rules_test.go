package rules_test

import (
	"context"
	"log/slog"
	"strconv"
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

func (silentFeed) Next(ctx context.Context, _ eras.Version, _ time.Duration) ([]rules.Manifest, eras.Version, error) {
	<-ctx.Done()

	return nil, eras.Version{}, ctx.Err()
}

func (silentFeed) Decode(rules.Manifest) (*routes.Table, error) {
	return routes.NewTable(newest, []routes.Route{{
		Name: "read", Host: "a.example", Prefix: "/", Services: []routes.WeightedService{{Service: "leaf", Weight: 1}}, Attempts: 1,
	}})
}

// scriptedFeed is a platform with one response of several manifests, which encode their versions as numbers.
type scriptedFeed struct {
	manifests []rules.Manifest
}

func (scriptedFeed) Newest(context.Context) (rules.Manifest, eras.Version, error) {
	return nil, eras.Version{}, nil
}

func (f scriptedFeed) Next(ctx context.Context, cursor eras.Version, _ time.Duration) ([]rules.Manifest, eras.Version, error) {
	if cursor.Number > 0 {
		return silentFeed{}.Next(ctx, cursor, 0)
	}

	return f.manifests, eras.Version{Number: 1}, nil
}

func (scriptedFeed) Decode(manifest rules.Manifest) (*routes.Table, error) {
	number, err := strconv.ParseUint(string(manifest), 10, 64)
	if err != nil {
		return nil, err
	}

	return routes.NewTable(number, nil)
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

// startRules starts the service beside other nodes that have the newest version, unless they are frozen.
func startRules(t *testing.T, feed rules.Feed, controls []string, frozen map[string]bool) *rules.Rules {
	t.Helper()
	k := kernel.New(slog.New(slog.DiscardHandler))
	service := rules.New(feed, slog.New(slog.DiscardHandler))
	for _, s := range []kernel.Service{meter.New(nil), &members{controls: controls}, &control{frozen: frozen}, service} {
		require.NoError(t, k.Register(s))
	}
	_, err := service.Start(t.Context(), k)
	require.NoError(t, err)
	t.Cleanup(func() { _ = service.Stop(context.Background()) })

	return service
}

// One of the nodes that have the newest version may be frozen, or gone since it announced the version.
func TestNodeThatDoesNotAnswerKeepsNobodyFromNewerRoutes(t *testing.T) {
	t.Parallel()
	service := startRules(t, silentFeed{}, []string{"frozen", "a", "b"}, map[string]bool{"frozen": true})
	require.Eventually(t, func() bool { return service.Revision() == newest }, 10*time.Second, 10*time.Millisecond)
}

// Both versions were published between two polls.
func TestInvalidVersionDoesNotHideTheValidOneBeforeIt(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		manifests []rules.Manifest
		expected  uint64
	}{
		"invalid one last":    {[]rules.Manifest{[]byte("2"), []byte("3"), []byte("bad")}, 3},
		"invalid one between": {[]rules.Manifest{[]byte("2"), []byte("bad"), []byte("4")}, 4},
		"only valid ones":     {[]rules.Manifest{[]byte("2"), []byte("3")}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service := startRules(t, scriptedFeed{test.manifests}, nil, nil)
			require.Eventually(t, func() bool { return service.Revision() == test.expected }, 10*time.Second, 10*time.Millisecond)
		})
	}
}
