package peers_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/peers"
)

func TestPanicInMethodEndsItsConnectionOnly(t *testing.T) {
	server, _ := startEcho(t, peers.Options{})
	client := start(t, peers.Options{})
	_, err := say(t.Context(), client, server.Address(), "panic")
	require.ErrorIs(t, err, peers.ErrConnectionLost)
	got, err := say(t.Context(), client, server.Address(), "again")
	require.NoError(t, err)
	require.Equal(t, "again", got)
}

func TestUnknownMethodLeavesTheConnectionUsable(t *testing.T) {
	server, _ := startEcho(t, peers.Options{})
	client := start(t, peers.Options{})
	for range 20 {
		var reply string
		require.ErrorIs(t, client.Call(t.Context(), server.Address(), "Echo.Shout", "text", &reply), peers.ErrRemote)
		got, err := say(t.Context(), client, server.Address(), "text")
		require.NoError(t, err)
		require.Equal(t, "text", got)
	}
	require.EqualValues(t, 1, client.Traffic().Dials)
}

// Another program may have taken over the address of a peer, or send to that of a node.
func TestForeignBytesEndTheConnection(t *testing.T) {
	// the prefix announces a message of 1 GB in gob's format
	const hugeMessage = "\xfc\x3f\xff\xff\xff"
	for name, unit := range map[string]string{"huge message": hugeMessage, "text": "GET / HTTP/1.1\r\n", "zeros": "\x00"} {
		block := unit + strings.Repeat(unit, (64<<10)/len(unit))
		t.Run("to the server, "+name, func(t *testing.T) {
			server, _ := startEcho(t, peers.Options{})
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Address())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
			require.Less(t, writeUntilClosed(conn, block), 64<<20)
			got, err := say(t.Context(), start(t, peers.Options{}), server.Address(), "alive")
			require.NoError(t, err)
			require.Equal(t, "alive", got)
		})
		t.Run("to the client, "+name, func(t *testing.T) {
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			var sent atomic.Int64
			sent.Store(-1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				sent.Store(int64(writeUntilClosed(conn, block)))
			}()
			client := start(t, peers.Options{})
			_, err = say(t.Context(), client, listener.Addr().String(), "text")
			require.Error(t, err)
			require.Eventually(t, func() bool { return sent.Load() >= 0 }, waitTimeout, time.Millisecond, "connection closed")
			require.Less(t, sent.Load(), int64(64<<20))
		})
	}
}

// writeUntilClosed writes the block again and again until the connection ends, and returns the number of bytes written.
func writeUntilClosed(conn net.Conn, block string) int {
	total := 0
	for {
		n, err := io.WriteString(conn, block)
		total += n
		if err != nil {
			return total
		}
	}
}
