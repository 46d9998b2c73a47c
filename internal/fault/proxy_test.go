package fault_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/fault"
)

// echo answers each line with the same line.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()

	return listener.Addr().String()
}

func proxy(t *testing.T) *fault.Proxy {
	t.Helper()
	p, clean, err := fault.New(context.Background(), echo(t))
	require.NoError(t, err)
	t.Cleanup(clean)

	return p
}

func dial(t *testing.T, p *fault.Proxy) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })

	return conn
}

func ask(conn net.Conn, line string, patience time.Duration) (string, error) {
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	_ = conn.SetReadDeadline(time.Now().Add(patience))

	return bufio.NewReader(conn).ReadString('\n')
}

func TestPassesBytesWithoutFault(t *testing.T) {
	answer, err := ask(dial(t, proxy(t)), "hello", 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, "hello\n", answer)
}

func TestSilenceOpenLeavesNewConnectionsWorking(t *testing.T) {
	p := proxy(t)
	old := dial(t, p)
	_, err := ask(old, "before", 5*time.Second)
	require.NoError(t, err)

	require.Equal(t, 1, p.SilenceOpen())

	_, err = ask(old, "lost", 100*time.Millisecond)
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	_, err = ask(dial(t, p), "fresh", 5*time.Second)
	require.NoError(t, err)
}

func TestCutAfterEndsInTheMiddle(t *testing.T) {
	p := proxy(t)
	p.Set(fault.Fault{CutAfter: 5})
	conn := dial(t, p)
	_, err := io.WriteString(conn, "0123456789")
	require.NoError(t, err)
	got, _ := io.ReadAll(conn)
	require.Equal(t, "01234", string(got))
}

func TestRefuseAndRestore(t *testing.T) {
	p := proxy(t)
	require.NoError(t, p.Refuse())
	_, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.Address())
	require.Error(t, err)
	require.NoError(t, p.Restore(t.Context()))
	_, err = ask(dial(t, p), "again", 5*time.Second)
	require.NoError(t, err)
}

func TestSwitchableFaults(t *testing.T) {
	cases := map[string]struct {
		fault fault.Fault
		fails bool
		least time.Duration
	}{
		"delay":        {fault: fault.Fault{Delay: 30 * time.Millisecond}, least: 60 * time.Millisecond},
		"connectDelay": {fault: fault.Fault{ConnectDelay: 30 * time.Millisecond}, least: 30 * time.Millisecond},
		"bandwidth":    {fault: fault.Fault{BytesPerSecond: 100}, least: 10 * time.Millisecond},
		"silent":       {fault: fault.Fault{Silent: true}, fails: true},
		"loseAnswers":  {fault: fault.Fault{LoseAnswers: true}, fails: true},
		"resetNew":     {fault: fault.Fault{ResetNew: true}, fails: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := proxy(t)
			p.Set(c.fault)
			patience := 5 * time.Second
			if c.fails {
				patience = 100 * time.Millisecond
			}
			began := time.Now()
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.Address())
			if err == nil {
				t.Cleanup(func() { _ = conn.Close() })
				_, err = ask(conn, "some line", patience)
			}
			require.Equal(t, c.fails, err != nil)
			require.GreaterOrEqual(t, time.Since(began), c.least)
			if c.fails {
				return
			}
			p.ResetOpen()
			_, err = ask(conn, "after reset", patience)
			require.Error(t, err)
		})
	}
}
