package entry

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/member"
)

func digest(body []byte) uint64 {
	return xxhash.Sum64(body)
}

// pass gives the answer to the caller, whole or as a stream.
func (r *request) pass(c context.Context, target member.Entry, answer *relay.Response) {
	out := &r.http.Response
	out.SetStatusCode(answer.Response.StatusCode())
	wire.CopyResponseHeaders(&out.Header, &answer.Response.Header)
	out.Header.Set(wire.HeaderOutcome, string(call.OutcomeRan))
	out.Header.Set(wire.HeaderOperation, string(r.op))
	r.showTicket()
	r.entry.metrics.Counter("answered").Inc(1)
	if answer.Stream != nil {
		r.passStream(c, target, answer)

		return
	}
	out.SetBody(answer.Response.Body())
	wire.CopyContentLength(out, &answer.Response)
	answer.Close()
}
