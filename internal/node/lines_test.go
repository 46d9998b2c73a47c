package node_test

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiotack/pistachiotack/internal/wire"
)

const onceKind = "\n[service.keuring.kind.signoff]\nmethod = \"POST\"\npath = \"/signoffs\"\nonce = true\n"

// Guards against a resumed download whose request has the range that is missing and one that the caller asked for.
func TestResumedDownloadStatesOneRange(t *testing.T) {
	content := archiveContent(1)
	var truncations atomic.Int64
	truncations.Store(1)
	archive := archiveServer(content, "v1", &truncations)
	var mu sync.Mutex
	var ranges [][]string
	backend := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ranges = append(ranges, r.Header.Values("Range"))
		mu.Unlock()
		archive.ServeHTTP(w, r)
	})
	nodes := startFleet(t, testTree+archiveKind, backend, backend)
	request := newCall(t, nodes[0], http.MethodGet, "/archive/3", "")
	request.Header["Range"] = []string{"bytes=1000000-7000000", "bytes=0-1"}
	response := do(t, request)
	require.NoError(t, response.bodyErr)
	require.Equal(t, http.StatusPartialContent, response.status)
	require.True(t, bytes.Equal(content[1000000:7000001], response.body))
	mu.Lock()
	defer mu.Unlock()
	require.Len(t, ranges, 2)
	require.Len(t, ranges[1], 1, "the resumed request states one range")
}

// Guards against a remembered response that has only the last of several lines with the same name.
func TestRememberedResponseHasAllLines(t *testing.T) {
	links := []string{"</a>; rel=next", "</b>; rel=prev"}
	cookies := []string{"a=1; Path=/", "b=2; Path=/"}
	var runs atomic.Int64
	nodes := startFleet(t, testTree+onceKind, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header()["Link"], w.Header()["Set-Cookie"] = links, cookies
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte("{}"))
	}))
	client := http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	redirect, err := client.Do(newCall(t, nodes[0], http.MethodPost, "/signoffs", ""))
	require.NoError(t, err)
	require.NoError(t, redirect.Body.Close())
	require.Equal(t, http.StatusTemporaryRedirect, redirect.StatusCode)
	for _, from := range []string{"backend server", "memory"} {
		response := do(t, newCall(t, nodes[0], http.MethodPost, redirect.Header.Get("Location"), ""))
		require.Equal(t, http.StatusOK, response.status, string(response.body))
		require.Equal(t, links, response.header.Values("Link"), "response from the %s", from)
		require.ElementsMatch(t, cookies, response.header.Values("Set-Cookie"), "response from the %s", from)
		require.Equal(t, []string{"application/json"}, response.header.Values("Content-Type"))
	}
	require.EqualValues(t, 1, runs.Load())
}

// Guards against an operation that runs under one of two keys, while the backend server or a repetition goes by the other.
func TestRequestWithTwoIdempotencyKeysIsRefused(t *testing.T) {
	var runs atomic.Int64
	nodes := startFleet(t, testTree+onceKind, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	request := newCall(t, nodes[0], http.MethodPost, "/signoffs", "")
	request.Header[wire.HeaderIdempotencyKey] = []string{"first", "second"}
	response := do(t, request)
	require.Equal(t, http.StatusBadRequest, response.status)
	require.Equal(t, "notRun", response.header.Get(wire.HeaderOutcome))
	require.Contains(t, string(response.body), wire.HeaderIdempotencyKey)
	require.Zero(t, runs.Load())
}
