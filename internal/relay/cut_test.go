package relay_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/relay"
)

// A server that closes the connection in the middle of a header must not be taken to have sent a whole response.
func TestResponseCutInItsHeaderIsNoResponse(t *testing.T) {
	tests := map[string]string{
		"with a length":     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\n\r\n",
		"length first":      "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: 1\r\n\r\n",
		"chunked":           "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"close-delimited":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n",
		"line feeds only":   "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 12\n\n",
		"folded":            "HTTP/1.1 200 OK\r\nX-Id: 1\r\n 2\r\nContent-Length: 12\r\n\r\n",
		"after interim":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"no content":        "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n",
		"empty header":      "HTTP/1.1 200 OK\r\n\r\n",
		"colons in a value": "HTTP/1.1 200 OK\r\nX-Id: a:b\r\n\r\n",
	}
	for name, header := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, closeClient := relay.NewClient(time.Minute)
			t.Cleanup(closeClient)
			for cut := range len(header) {
				server := newScriptedServer(t, header[:cut])
				response, err := get(t.Context(), client, server.address, relay.Limits{MaxBodyBytes: maxBodyBytes, AllowCloseDelimited: true})
				require.Error(t, err, "cut at %d: %q gave status %d", cut, header[:cut], response.Response.StatusCode())
			}
			if strings.Contains(header, "Content-Length: 12") {
				return
			}
			server := newScriptedServer(t, header+map[bool]string{true: "0\r\n\r\n"}[strings.Contains(header, "chunked")])
			response, err := get(t.Context(), client, server.address, relay.Limits{MaxBodyBytes: maxBodyBytes, AllowCloseDelimited: true})
			require.NoError(t, err, "whole header")
			require.Less(t, response.Response.StatusCode(), http.StatusMultipleChoices)
		})
	}
}
