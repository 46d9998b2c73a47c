package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

func respondWhole(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "whole")
}

// brokenHandler gives the text, with the field that names its operation, as its response to requests whose path contains "broken".
func brokenHandler(text string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "broken") {
			respondWhole(w, r)

			return
		}
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, text, wire.HeaderOperation+": "+r.Header.Get(wire.HeaderOperation))
		_, _ = io.Copy(io.Discard, buffer)
	})
}

func TestBrokenResponseIsNoAnswer(t *testing.T) {
	const stated = wire.HeaderOutcome + ": notRun\r\n" + wire.HeaderDraining + ": true\r\n"
	for name, text := range map[string]string{
		"status 000":         "HTTP/1.1 000 OK\r\n%s\r\n" + stated + "Content-Length: 4\r\n\r\ndone",
		"no field":           "HTTP/1.1 200 OK\r\n%s\r\n" + stated + "X\r\nContent-Length: 4\r\n\r\ndone",
		"blank in a name":    "HTTP/1.1 200 OK\r\n%s\r\n" + stated + "X Y: a\r\nContent-Length: 4\r\n\r\ndone",
		"two lengths":        "HTTP/1.1 200 OK\r\n%s\r\n" + stated + "Content-Length: 3\r\nContent-Length: 4\r\n\r\ndone",
		"interim, then none": "HTTP/1.1 103 Early Hints\r\n" + stated + "\r\nHTTP/1.1 000 OK\r\n%s\r\nContent-Length: 4\r\n\r\ndone",
		"protocol switch":    "HTTP/1.1 101 Switching Protocols\r\n%s\r\n" + stated + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nodes := startFleet(t, testTree+archiveKind, brokenHandler(text), http.HandlerFunc(respondWhole))
			for range 4 {
				response := do(t, newCall(t, nodes[0], http.MethodGet, "/archive/broken", ""))
				require.NoError(t, response.bodyErr)
				require.Equal(t, http.StatusOK, response.status, "a read is sent to the other server; %s", response.body)
				require.Equal(t, "whole", string(response.body))
			}
			only := startFleet(t, testTree, brokenHandler(text))
			response := do(t, newCall(t, only[0], http.MethodPost, "/broken", ""))
			require.Equal(t, http.StatusBadGateway, response.status, "body %q", response.body)
			require.Equal(t, string(call.OutcomeUnknown), response.header.Get(wire.HeaderOutcome))
			response = do(t, newCall(t, only[0], http.MethodPost, "/next", ""))
			require.Equal(t, http.StatusOK, response.status, "a broken response does not say that the server is draining")
			require.Equal(t, "whole", string(response.body))
		})
	}
}
