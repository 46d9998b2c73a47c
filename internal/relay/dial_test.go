package relay_test

import (
	"context"
	"net"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// fullListener returns an address where connecting times out, because the accept queue of the listener is full.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	bound, ok := name.(*syscall.SockaddrInet4)
	require.True(t, ok)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.Port))
	for {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// An attempt that is cancelled or times out while dialling must not be reported as a failure of the peer, which may only be busy.
func TestDialErrorReasons(t *testing.T) {
	t.Parallel()
	busy := fullListener(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	const short, long = 30 * time.Millisecond, 300 * time.Millisecond
	for name, test := range map[string]struct {
		address  string
		deadline time.Duration
		cancel   time.Duration
		reason   call.Reason
	}{
		"refused":                   {closed.Addr().String(), long, long, call.ReasonConnect},
		"dial timeout":              {busy, long, long, call.ReasonConnect},
		"cancelled while dialling":  {busy, long, short, call.ReasonCancelled},
		"deadline while dialling":   {busy, short, long, call.ReasonDeadline},
		"cancelled before dialling": {closed.Addr().String(), long, 0, call.ReasonCancelled},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, closeClient := relay.NewClient(time.Second)
			defer closeClient()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.cancel == 0 {
				cancel()
			}
			time.AfterFunc(test.cancel, cancel)
			err := client.Do(ctx, test.address, &protocol.Request{}, &relay.Response{}, relay.Limits{
				DialTimeout: 100 * time.Millisecond, Deadline: time.Now().Add(test.deadline),
			})
			outcome, reason := relay.OutcomeOf(err)
			require.Equal(t, call.OutcomeNotRun, outcome)
			require.Equal(t, test.reason, reason)
		})
	}
}
