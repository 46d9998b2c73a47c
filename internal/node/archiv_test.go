package node_test

import (
	"bytes"
	"crypto/sha256"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const archiveBytes = 8 << 20

func archiveContent(seed uint64) []byte {
	content := make([]byte, archiveBytes)
	_, _ = rand.NewChaCha8([32]byte{byte(seed)}).Read(content)

	return content
}

// archiveServer serves the content, also by ranges. It truncates the given number of responses after a quarter of the archive.
func archiveServer(content []byte, tag string, truncations *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", strconv.Quote(tag))
		if truncations.Add(-1) >= 0 {
			w = &truncatingWriter{ResponseWriter: w, remaining: archiveBytes / 4}
		}
		http.ServeContent(w, r, "archive.bin", time.Time{}, bytes.NewReader(content))
	})
}

// truncatingWriter closes the connection after the remaining bytes.
type truncatingWriter struct {
	http.ResponseWriter
	remaining int
}

func (c *truncatingWriter) Write(p []byte) (int, error) {
	if len(p) > c.remaining {
		_, _ = c.ResponseWriter.Write(p[:c.remaining])
		panic(http.ErrAbortHandler)
	}
	c.remaining -= len(p)

	return c.ResponseWriter.Write(p)
}

func TestArchiveResumesOnAnotherTarget(t *testing.T) {
	content := archiveContent(1)
	var truncations atomic.Int64
	truncations.Store(2)
	nodes := startFleet(t, testTree+archiveKind,
		archiveServer(content, "v1", &truncations), archiveServer(content, "v1", &truncations), archiveServer(content, "v1", &truncations))
	tests := map[string]struct {
		header string
		want   []byte
		status int
	}{
		"complete":                  {want: content, status: http.StatusOK},
		"range requested by caller": {header: "bytes=1000000-7000000", want: content[1000000:7000001], status: http.StatusPartialContent},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			truncations.Store(2)
			request := newCall(t, nodes[0], http.MethodGet, "/archive/3", "")
			if test.header != "" {
				request.Header.Set("Range", test.header)
			}
			response := do(t, request)
			require.Equal(t, test.status, response.status)
			require.NoError(t, response.bodyErr)
			require.Equal(t, sha256.Sum256(test.want), sha256.Sum256(response.body))
			require.Less(t, truncations.Load(), int64(0), "a response was truncated and resumed")
		})
	}
}

// TestArchiveNotResumedFromAnotherVersion guards against a response put together from two versions of an archive. The second
// target has another version, so that the truncated response can't be resumed there and the caller's response must be truncated, too.
func TestArchiveNotResumedFromAnotherVersion(t *testing.T) {
	var truncations, none atomic.Int64
	truncations.Store(1)
	nodes := startFleet(t, testTree+archiveKind,
		archiveServer(archiveContent(1), "v1", &truncations), archiveServer(archiveContent(2), "v2", &none))
	truncated := false
	for range 2 {
		response := do(t, newCall(t, nodes[0], http.MethodGet, "/archive/3", ""))
		if response.bodyErr != nil {
			truncated = true
			require.ErrorIs(t, response.bodyErr, io.ErrUnexpectedEOF)

			continue
		}
		require.Len(t, response.body, archiveBytes)
	}
	require.True(t, truncated)
}
