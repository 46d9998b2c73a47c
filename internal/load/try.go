package load

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/fake"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

// verdict is what the bench makes of one try.
type verdict string

const (
	verdictGood verdict = "good"
	// verdictWrong is a complete answer with bytes that belong to no or another request.
	verdictWrong verdict = "wrong"
	// verdictTorn is a part of an answer that ended as if it were whole.
	verdictTorn    verdict = "torn"
	verdictCut     verdict = "cut"
	verdictRefused verdict = "refused"
	verdictFailed  verdict = "failed"
	verdictTimeout verdict = "timeout"
	verdictConnect verdict = "connect"
	// verdictDropped is an arrival that the bench itself had no room for.
	verdictDropped verdict = "dropped"
)

const (
	maxTickets   = 4
	maxProblem   = 4 << 10
	inlineReason = `"reason":"`
)

// try is one request on the wire and what came of it.
type try struct {
	id         string
	verdict    verdict
	outcome    call.Outcome
	reason     string
	retryAfter time.Duration
	// ticket is the URL under which a once request may be repeated, empty for none.
	ticket string
}

// target says where one try goes.
type target struct {
	kind  Kind
	entry string
	path  string
	id    string
	// mark is the same for all tries of a request, key is sent as its idempotency key.
	mark   string
	key    string
	ticket string
}

func (t target) uri() string {
	return t.path + "?" + fake.QueryRequest + "=" + t.id
}

func (t target) seed() uint64 {
	if t.kind.Archive {
		return fake.ArchiveSeed(t.path)
	}

	return fake.Seed(t.kind.Method, t.uri(), nil)
}

// send makes one try and follows the tickets that an entry hands out.
func send(ctx context.Context, client *http.Client, to target) try {
	for range maxTickets {
		response, err := exchange(ctx, client, to)
		if err != nil {
			return try{id: to.id, ticket: to.ticket, verdict: broken(ctx, err)}
		}
		location := response.Header.Get("Location")
		if response.StatusCode != http.StatusTemporaryRedirect || location == "" {
			return judge(ctx, to, response)
		}
		_ = response.Body.Close()
		to.ticket = ticketPath(location)
	}

	return try{id: to.id, verdict: verdictFailed, reason: "ticket loop"}
}

func ticketPath(location string) string {
	if after, found := strings.CutPrefix(location, "http://"); found {
		_, path, _ := strings.Cut(after, "/")

		return "/" + path
	}

	return location
}

func exchange(ctx context.Context, client *http.Client, to target) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, to.kind.Method, "http://"+to.entry+cmp.Or(to.ticket, to.uri()), fake.EmptyBody())
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.Header.Set(wire.HeaderService, to.kind.Service)
	if to.kind.Once {
		request.Header.Set(fake.HeaderRequest, to.mark)
	}
	if to.key != "" {
		request.Header.Set(wire.HeaderIdempotencyKey, to.key)
	}
	if limit, ok := ctx.Deadline(); ok {
		request.Header.Set(wire.HeaderTimeout, time.Until(limit).String())
	}

	return client.Do(request)
}

// broken tells a connection that never came about from one that ended early.
func broken(ctx context.Context, err error) verdict {
	text := err.Error()
	switch {
	case ctx.Err() != nil:
		return verdictTimeout
	case strings.Contains(text, "connection refused"):
		return verdictConnect
	default:
		return verdictCut
	}
}

// judge reads the answer and compares it with what the request must get.
func judge(ctx context.Context, to target, response *http.Response) try {
	defer func() { _ = response.Body.Close() }()
	done := try{id: to.id, ticket: to.ticket, outcome: call.Outcome(response.Header.Get(wire.HeaderOutcome)), retryAfter: retryAfter(response.Header)}
	if response.StatusCode != http.StatusOK {
		problem, _ := io.ReadAll(io.LimitReader(response.Body, maxProblem))
		done.reason = reasonIn(string(problem), response.StatusCode)
		done.verdict = verdictFailed
		if done.outcome == call.OutcomeNotRun {
			done.verdict = verdictRefused
		}

		return done
	}
	length, right, err := fake.Verify(response.Body, to.seed(), 0)
	switch {
	case err != nil && ctx.Err() != nil:
		done.verdict = verdictTimeout
	case err != nil:
		done.verdict = verdictCut
	case !right:
		done.verdict = verdictWrong
	case length != to.kind.Bytes:
		done.verdict = verdictTorn
	default:
		done.verdict = verdictGood
	}

	return done
}

func reasonIn(problem string, status int) string {
	if _, after, found := strings.Cut(problem, inlineReason); found {
		reason, _, _ := strings.Cut(after, `"`)

		return reason
	}

	return "status " + strconv.Itoa(status)
}

func retryAfter(header http.Header) time.Duration {
	if fine, err := time.ParseDuration(header.Get(wire.HeaderRetryAfterDuration)); err == nil {
		return fine
	}
	seconds, err := strconv.Atoi(header.Get(wire.HeaderRetryAfter))
	if err != nil {
		return 0
	}

	return time.Duration(seconds) * time.Second
}
