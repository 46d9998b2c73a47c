package kernel_test

import (
	"context"
	"log/slog"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
)

var errBroken = errors.New("broken")

type part struct {
	name  string
	log   *[]string
	needs string
	fail  error
	done  chan error
}

func (p *part) String() string { return p.name }

func (p *part) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	if p.fail != nil {
		return nil, p.fail
	}
	if p.needs != "" {
		if _, err := kernel.Find[*part](k, p.needs); err != nil {
			return nil, err
		}
	}
	*p.log = append(*p.log, "start "+p.name)

	return p.done, nil
}

func (p *part) Stop(context.Context) error {
	*p.log = append(*p.log, "stop "+p.name)

	return nil
}

func newKernel(t *testing.T, parts ...*part) (*kernel.Kernel, *[]string) {
	t.Helper()
	log := &[]string{}
	k := kernel.New(slog.New(slog.DiscardHandler))
	for _, p := range parts {
		p.log = log
		p.done = make(chan error, 1)
		require.NoError(t, k.Register(p))
	}

	return k, log
}

func TestServicesStartInOrderAndStopInReverse(t *testing.T) {
	k, log := newKernel(t, &part{name: "a"}, &part{name: "b", needs: "a"}, &part{name: "c", needs: "a"})
	started, err := k.Start(t.Context())
	require.NoError(t, err)
	require.NoError(t, started.Stop(t.Context()))
	require.Equal(t, []string{"start a", "start b", "start c", "stop c", "stop b", "stop a"}, *log)
}

func TestFailedStartStopsThoseBefore(t *testing.T) {
	k, log := newKernel(t, &part{name: "a"}, &part{name: "b", fail: errBroken}, &part{name: "c"})
	_, err := k.Start(t.Context())
	require.ErrorIs(t, err, errBroken)
	require.Equal(t, []string{"start a", "stop a"}, *log)
}

func TestWaitReportsTheServiceThatEnds(t *testing.T) {
	ending := &part{name: "b"}
	k, _ := newKernel(t, &part{name: "a"}, ending)
	started, err := k.Start(t.Context())
	require.NoError(t, err)
	ending.done <- errBroken
	err = started.Wait(t.Context())
	require.ErrorIs(t, err, errBroken)
	require.ErrorContains(t, err, "service b")
}

func TestLookUps(t *testing.T) {
	k, _ := newKernel(t, &part{name: "a"})
	require.ErrorIs(t, k.Register(&part{name: "a"}), kernel.ErrNameTaken)
	_, err := kernel.Find[*part](k, "z")
	require.ErrorIs(t, err, kernel.ErrNotFound)
	_, err = kernel.Find[interface{ Other() }](k, "a")
	require.ErrorIs(t, err, kernel.ErrWrongType)
}

func TestFindAllKeepsWhatItFinds(t *testing.T) {
	k, _ := newKernel(t, &part{name: "a"}, &part{name: "b"})
	var first, second *part
	require.NoError(t, kernel.FindAll(k, kernel.Into("a", &first), kernel.Into("b", &second)))
	require.Equal(t, "a", first.String())
	require.Equal(t, "b", second.String())
	require.ErrorIs(t, kernel.FindAll(k, kernel.Into("a", &first), kernel.Into("z", &second)), kernel.ErrNotFound)
}
