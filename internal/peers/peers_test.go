package peers_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/kernel"
	"github.com/pistachiotack/pistachiotack/internal/peers"
)

const waitTimeout = 10 * time.Second

// Echo replies with the text it receives. "fail" makes it return an error, "panic" makes it panic, "hold" makes
// it wait for release.
type Echo struct {
	release chan struct{}
}

func (e *Echo) Say(text string, reply *string) error {
	switch text {
	case "fail":
		return errors.New("requested failure")
	case "panic":
		panic("requested panic")
	case "hold":
		<-e.release
	}
	*reply = text

	return nil
}

func start(t *testing.T, options peers.Options) *peers.Service {
	t.Helper()
	if options.Listen == "" {
		options.Listen = "127.0.0.1:0"
	}
	service := peers.New(options)
	done, err := service.Start(t.Context(), kernel.New(nil))
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		require.NoError(t, service.Stop(ctx))
		require.NoError(t, <-done)
	})

	return service
}

func startEcho(t *testing.T, options peers.Options) (*peers.Service, *Echo) {
	t.Helper()
	service := start(t, options)
	echo := &Echo{release: make(chan struct{})}
	require.NoError(t, service.Register("Echo", echo))
	t.Cleanup(sync.OnceFunc(func() { close(echo.release) }))

	return service, echo
}

func say(ctx context.Context, s *peers.Service, address, text string) (string, error) {
	var reply string
	err := s.Call(ctx, address, "Echo.Say", text, &reply)

	return reply, err
}

func TestCallRepliesAndCountsTraffic(t *testing.T) {
	server, _ := startEcho(t, peers.Options{})
	client := start(t, peers.Options{})
	for i := range 20 {
		text := fmt.Sprint("text ", i)
		got, err := say(t.Context(), client, server.Address(), text)
		require.NoError(t, err)
		require.Equal(t, text, got)
	}
	_, err := say(t.Context(), client, server.Address(), "fail")
	require.ErrorIs(t, err, peers.ErrRemote)
	require.Equal(t, 1, client.OpenConnections())
	require.EqualValues(t, 1, client.Traffic().Dials)
	require.Equal(t, client.Traffic().Sent, server.Traffic().Received)
	require.Positive(t, client.Traffic().Received)
}

func TestUnreachablePeer(t *testing.T) {
	client := start(t, peers.Options{})
	_, err := say(t.Context(), client, "127.0.0.1:1", "x")
	require.ErrorIs(t, err, peers.ErrUnreachable)
	require.Zero(t, client.OpenConnections())
}

func TestTimeoutDoesNotAffectOtherCalls(t *testing.T) {
	server, echo := startEcho(t, peers.Options{})
	client := start(t, peers.Options{Timeout: waitTimeout})
	other := make(chan error, 1)
	go func() {
		_, err := say(context.Background(), client, server.Address(), "hold")
		other <- err
	}()
	require.Eventually(t, func() bool { return client.Traffic().Dials == 1 }, waitTimeout, time.Millisecond)
	shortCtx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := say(shortCtx, client, server.Address(), "hold")
	require.ErrorIs(t, err, peers.ErrTimeout)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	for range 2 {
		echo.release <- struct{}{}
	}
	require.NoError(t, <-other)
	require.Eventually(t, func() bool { return client.OpenConnections() == 0 }, waitTimeout, time.Millisecond)
}

// blackhole is a TCP proxy. Incrementing generation makes it drop all further bytes of the existing connections without
// closing them.
type blackhole struct {
	listener   net.Listener
	target     string
	generation atomic.Int64
}

func newBlackhole(t *testing.T, target string) *blackhole {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	hole := &blackhole{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close() })
	go hole.accept()

	return hole
}

func (b *blackhole) accept() {
	for {
		inbound, err := b.listener.Accept()
		if err != nil {
			return
		}
		outbound, err := net.Dial("tcp", b.target)
		if err != nil {
			_ = inbound.Close()

			continue
		}
		generation := b.generation.Load()
		go b.forward(outbound, inbound, generation)
		go b.forward(inbound, outbound, generation)
	}
}

func (b *blackhole) forward(to io.WriteCloser, from io.ReadCloser, generation int64) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if b.generation.Load() != generation {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func TestTimedOutConnectionIsReplaced(t *testing.T) {
	server, _ := startEcho(t, peers.Options{})
	hole := newBlackhole(t, server.Address())
	client := start(t, peers.Options{Timeout: 100 * time.Millisecond})
	address := hole.listener.Addr().String()
	for round := range 3 {
		_, err := say(t.Context(), client, address, "before")
		require.NoError(t, err, "round %d", round)
		hole.generation.Add(1)
		_, err = say(t.Context(), client, address, "lost")
		require.ErrorIs(t, err, peers.ErrTimeout)
		got, err := say(t.Context(), client, address, "after")
		require.NoError(t, err)
		require.Equal(t, "after", got)
	}
	require.EqualValues(t, 4, client.Traffic().Dials)
	require.Equal(t, 1, client.OpenConnections())
}

func TestRestartedPeerIsRedialled(t *testing.T) {
	first := peers.New(peers.Options{Listen: "127.0.0.1:0"})
	done, err := first.Start(t.Context(), nil)
	require.NoError(t, err)
	require.NoError(t, first.Register("Echo", &Echo{}))
	address := first.Address()
	client := start(t, peers.Options{})
	_, err = say(t.Context(), client, address, "x")
	require.NoError(t, err)
	require.NoError(t, first.Stop(t.Context()))
	require.NoError(t, <-done)

	_, err = say(t.Context(), client, address, "x")
	require.Error(t, err)
	startEcho(t, peers.Options{Listen: address})
	_, err = say(t.Context(), client, address, "x")
	require.NoError(t, err)
}

func TestOpenConnectionsAreBoundedAndIdleOnesClosed(t *testing.T) {
	client := start(t, peers.Options{MaxConnections: 2, IdleTimeout: 200 * time.Millisecond})
	var calls sync.WaitGroup
	for range 8 {
		server, _ := startEcho(t, peers.Options{})
		calls.Go(func() {
			for range 5 {
				_, err := say(context.Background(), client, server.Address(), "x")
				if err != nil {
					t.Error(err)
				}
				if open := client.OpenConnections(); open > 2 {
					t.Errorf("%d connections open", open)
				}
			}
		})
	}
	calls.Wait()
	require.Eventually(t, func() bool { return client.OpenConnections() == 0 }, waitTimeout, 10*time.Millisecond)
}
