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

type fakeService struct {
	name       string
	events     *[]string
	dependency string
	startErr   error
	done       chan error
}

func (s *fakeService) String() string { return s.name }

func (s *fakeService) Start(_ context.Context, k *kernel.Kernel) (<-chan error, error) {
	if s.startErr != nil {
		return nil, s.startErr
	}
	if s.dependency != "" {
		if _, err := kernel.Find[*fakeService](k, s.dependency); err != nil {
			return nil, err
		}
	}
	*s.events = append(*s.events, "start "+s.name)

	return s.done, nil
}

func (s *fakeService) Stop(context.Context) error {
	*s.events = append(*s.events, "stop "+s.name)

	return nil
}

func newKernel(t *testing.T, services ...*fakeService) (*kernel.Kernel, *[]string) {
	t.Helper()
	events := &[]string{}
	k := kernel.New(slog.New(slog.DiscardHandler))
	for _, service := range services {
		service.events = events
		service.done = make(chan error, 1)
		require.NoError(t, k.Register(service))
	}

	return k, events
}

func TestServicesStartInOrderAndStopInReverse(t *testing.T) {
	k, events := newKernel(t, &fakeService{name: "a"}, &fakeService{name: "b", dependency: "a"}, &fakeService{name: "c", dependency: "a"})
	started, err := k.Start(t.Context())
	require.NoError(t, err)
	require.NoError(t, started.Stop(t.Context()))
	require.Equal(t, []string{"start a", "start b", "start c", "stop c", "stop b", "stop a"}, *events)
}

func TestFailedStartStopsStartedServices(t *testing.T) {
	k, events := newKernel(t, &fakeService{name: "a"}, &fakeService{name: "b", startErr: errBroken}, &fakeService{name: "c"})
	_, err := k.Start(t.Context())
	require.ErrorIs(t, err, errBroken)
	require.Equal(t, []string{"start a", "stop a"}, *events)
}

func TestWaitReportsEndedService(t *testing.T) {
	ending := &fakeService{name: "b"}
	k, _ := newKernel(t, &fakeService{name: "a"}, ending)
	started, err := k.Start(t.Context())
	require.NoError(t, err)
	ending.done <- errBroken
	err = started.Wait(t.Context())
	require.ErrorIs(t, err, errBroken)
	require.ErrorContains(t, err, "service b")
}

func TestLookupErrors(t *testing.T) {
	k, _ := newKernel(t, &fakeService{name: "a"})
	require.ErrorIs(t, k.Register(&fakeService{name: "a"}), kernel.ErrNameTaken)
	_, err := kernel.Find[*fakeService](k, "z")
	require.ErrorIs(t, err, kernel.ErrNotFound)
	_, err = kernel.Find[interface{ Other() }](k, "a")
	require.ErrorIs(t, err, kernel.ErrWrongType)
}

func TestFindAllStoresServices(t *testing.T) {
	k, _ := newKernel(t, &fakeService{name: "a"}, &fakeService{name: "b"})
	var first, second *fakeService
	require.NoError(t, kernel.FindAll(k, kernel.Into("a", &first), kernel.Into("b", &second)))
	require.Equal(t, "a", first.String())
	require.Equal(t, "b", second.String())
	require.ErrorIs(t, kernel.FindAll(k, kernel.Into("a", &first), kernel.Into("z", &second)), kernel.ErrNotFound)
}
