package listen_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/listen"
)

// Guards against a planned stop in which a server with an open connection takes the time of the services that stop after it.
func TestCloseLeavesTimeForOtherServices(t *testing.T) {
	t.Parallel()
	for name, request := range map[string]string{
		"idle connection": "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"running request": "GET /long HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan struct{}, 1)
			server, err := listen.New("127.0.0.1:0", func(_ context.Context, ctx *app.RequestContext) {
				begun <- struct{}{}
				if string(ctx.Path()) == "/long" {
					time.Sleep(time.Second)
				}
			}, listen.Options{})
			require.NoError(t, err)
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Address())
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, request)
			require.NoError(t, err)
			<-begun
			if name == "idle connection" {
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
			}
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			require.NoError(t, server.Close(ctx))
			require.NoError(t, ctx.Err())
		})
	}
}
