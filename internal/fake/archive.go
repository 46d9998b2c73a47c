package fake

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cockroachdb/errors"
)

// ArchiveSeed returns what an archive's bytes are derived from, the same on every server.
func ArchiveSeed(path string) uint64 {
	return Seed(http.MethodGet, path, nil)
}

// ArchiveTag returns the strong ETag of an archive.
func ArchiveTag(path string, size int64) string {
	return fmt.Sprintf("%q", fmt.Sprintf("%016x-%d", ArchiveSeed(path), size))
}

func (s *Server) archive(ctx context.Context, cancel context.CancelFunc, c *app.RequestContext, v visit) {
	if err := s.slots.acquire(ctx); err != nil {
		cancel()
		if errors.Is(err, errShed) {
			s.shed(c)
		}

		return
	}
	s.ledger.started(v)
	path := string(c.Path())
	size := v.route.Bytes
	tag := ArchiveTag(path, size)
	offset := rangeStart(c, tag, size)
	c.Header("ETag", tag)
	c.Header("Accept-Ranges", "bytes")
	c.Header("Content-Type", "application/octet-stream")
	c.SetStatusCode(http.StatusOK)
	if offset > 0 {
		c.Header("Content-Range", fmt.Sprintf("bytes %d-%d/%d", offset, size-1, size))
		c.SetStatusCode(http.StatusPartialContent)
	}
	began := time.Now()
	c.SetBodyStream(&archive{
		ctx: ctx, seed: v.seed, offset: offset, size: size,
		pace: s.Behaviour().BytesPerSecond,
		end: func() {
			cancel()
			s.slots.release()
			s.ledger.ended(v, time.Since(began))
		},
	}, int(size-offset))
}

// rangeStart returns the first byte asked for, zero for the whole or for another version.
func rangeStart(c *app.RequestContext, tag string, size int64) int64 {
	if condition := string(c.GetHeader("If-Range")); condition != "" && condition != tag {
		return 0
	}
	from, found := strings.CutPrefix(string(c.GetHeader("Range")), "bytes=")
	if !found {
		return 0
	}
	start, err := strconv.ParseInt(strings.TrimSuffix(from, "-"), 10, 64)
	if err != nil || start >= size {
		return 0
	}

	return start
}

// archive generates its bytes as they are read.
type archive struct {
	ctx    context.Context
	seed   uint64
	offset int64
	size   int64
	pace   int64
	end    func()
}

// Read returns the next bytes, at the pace that was set.
func (a *archive) Read(into []byte) (int, error) {
	left := a.size - a.offset
	if left <= 0 {
		return 0, io.EOF
	}
	into = into[:min(int64(len(into)), left)]
	if a.pace > 0 {
		if err := sleep(a.ctx, time.Duration(len(into))*time.Second/time.Duration(a.pace)); err != nil {
			return 0, err
		}
	}
	fill(into, a.seed, a.offset)
	a.offset += int64(len(into))

	return len(into), nil
}

// Close gives the slot back.
func (a *archive) Close() error {
	if a.end != nil {
		a.end()
		a.end = nil
	}

	return nil
}
