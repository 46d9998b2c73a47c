package node_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// receivedRequest is a request as received by the backend server.
type receivedRequest struct {
	method string
	uri    string
	host   string
	header http.Header
	body   string
}

func TestRequestsAndResponsesPassUnchanged(t *testing.T) {
	var last atomic.Pointer[receivedRequest]
	nodes := startFleet(t, testTree, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		last.Store(&receivedRequest{method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header.Clone(), body: string(body)})
		w.Header().Add("Set-Cookie", "a=1; Path=/")
		w.Header().Add("Set-Cookie", "b=2; Path=/")
		w.Header().Add("X-Many", "one")
		w.Header().Add("X-Many", "two")
		w.Header().Set("Content-Type", "application/vnd.cell+json")
		w.Header().Set("Cache-Control", "no-store")
		switch r.URL.Path {
		case "/empty":
			w.WriteHeader(http.StatusNoContent)
		case "/unchanged":
			w.WriteHeader(http.StatusNotModified)
		default:
			_, _ = io.WriteString(w, `{"cell":7}`)
		}
	}))
	tests := map[string]struct {
		method   string
		uri      string
		body     string
		status   int
		response string
	}{
		"query and escapes": {method: http.MethodGet, uri: "/cells/a%2Fb/read%20ing?x=1&y=%26&x=2", status: http.StatusOK, response: `{"cell":7}`},
		"body":              {method: http.MethodPost, uri: "/signoffs", body: "cell=7&cell=8", status: http.StatusOK, response: `{"cell":7}`},
		"put":               {method: http.MethodPut, uri: "/alarms/3/acknowledged", body: "{}", status: http.StatusOK, response: `{"cell":7}`},
		"delete":            {method: http.MethodDelete, uri: "/cells/7", status: http.StatusOK, response: `{"cell":7}`},
		"patch":             {method: http.MethodPatch, uri: "/cells/7", body: "[]", status: http.StatusOK, response: `{"cell":7}`},
		"head":              {method: http.MethodHead, uri: "/cells/7", status: http.StatusOK},
		"options":           {method: http.MethodOptions, uri: "/cells/7", status: http.StatusOK, response: `{"cell":7}`},
		"no content":        {method: http.MethodGet, uri: "/empty", status: http.StatusNoContent},
		"not modified":      {method: http.MethodGet, uri: "/unchanged", status: http.StatusNotModified},
		"double slash":      {method: http.MethodGet, uri: "/cells//7/", status: http.StatusOK, response: `{"cell":7}`},
		"dots":              {method: http.MethodGet, uri: "/cells/../cells/7", status: http.StatusOK, response: `{"cell":7}`},
		"root":              {method: http.MethodGet, uri: "/", status: http.StatusOK, response: `{"cell":7}`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request := newCall(t, nodes[0], test.method, "/", test.body)
			request.URL.Opaque = test.uri
			request.Header.Add("X-Many", "one")
			request.Header.Add("X-Many", "two")
			request.Header.Set("Cookie", "session=3; theme=dark")
			request.Header.Set("Authorization", "Bearer x")
			request.Header.Set("User-Agent", "logger/2")
			request.Host = "keuring.example"
			response := do(t, request)

			got := last.Load()
			require.Equal(t, test.method, got.method)
			require.Equal(t, test.uri, got.uri)
			require.Equal(t, "keuring.example", got.host)
			require.Equal(t, test.body, got.body)
			require.Equal(t, []string{"one", "two"}, got.header.Values("X-Many"))
			require.Equal(t, "session=3; theme=dark", got.header.Get("Cookie"))
			require.Equal(t, "Bearer x", got.header.Get("Authorization"))
			require.Equal(t, "logger/2", got.header.Get("User-Agent"))

			require.NoError(t, response.bodyErr)
			require.Equal(t, test.status, response.status)
			require.Equal(t, test.response, string(response.body))
			require.ElementsMatch(t, []string{"a=1; Path=/", "b=2; Path=/"}, response.header.Values("Set-Cookie"))
			require.Equal(t, []string{"one", "two"}, response.header.Values("X-Many"))
			require.Equal(t, "no-store", response.header.Get("Cache-Control"))
			if test.method == http.MethodHead {
				require.Equal(t, "10", response.header.Get("Content-Length"))
			}
			if test.response != "" {
				require.Equal(t, "application/vnd.cell+json", response.header.Get("Content-Type"))
			}
		})
	}
}
