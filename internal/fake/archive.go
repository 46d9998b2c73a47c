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
	span := rangeOf(c, tag, size)
	c.Header("ETag", tag)
	c.Header("Accept-Ranges", "bytes")
	c.Header("Content-Type", "application/octet-stream")
	c.SetStatusCode(http.StatusOK)
	if span.partial {
		c.Header("Content-Range", fmt.Sprintf("bytes %d-%d/%d", span.first, span.end-1, size))
		c.SetStatusCode(http.StatusPartialContent)
	}
	began := time.Now()
	c.SetBodyStream(&archive{
		ctx: ctx, seed: v.seed, offset: span.first, size: span.end,
		pace: s.Behaviour().BytesPerSecond,
		end: func() {
			cancel()
			s.slots.release()
			s.ledger.ended(v, time.Since(began))
		},
	}, int(span.end-span.first))
}

// span is the part of an archive that is sent, end being the first byte behind it.
type span struct {
	first   int64
	end     int64
	partial bool
}

// rangeOf reads one range, "bytes=FIRST-" or "bytes=FIRST-LAST"; anything else, or another version, gets the whole.
func rangeOf(c *app.RequestContext, tag string, size int64) span {
	whole := span{end: size}
	if condition := string(c.GetHeader("If-Range")); condition != "" && condition != tag {
		return whole
	}
	from, found := strings.CutPrefix(string(c.GetHeader("Range")), "bytes=")
	if !found {
		return whole
	}
	begin, last, _ := strings.Cut(from, "-")
	first, err := strconv.ParseInt(begin, 10, 64)
	if err != nil || first >= size {
		return whole
	}
	end, err := strconv.ParseInt(last, 10, 64)
	if err != nil || end >= size {
		end = size - 1
	}

	return span{first: first, end: end + 1, partial: true}
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
