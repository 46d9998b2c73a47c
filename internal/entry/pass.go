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

// forward sends the response to the caller, whole or as a stream.
func (r *request) forward(c context.Context, target member.Entry, resp *relay.Response) {
	out := &r.http.Response
	out.SetStatusCode(resp.Response.StatusCode())
	wire.CopyResponseHeaders(&out.Header, &resp.Response.Header)
	wire.SetField(&out.Header, wire.HeaderOutcome, string(call.OutcomeRan))
	wire.SetField(&out.Header, wire.HeaderOperation, string(r.op))
	r.setTicketHeader()
	r.entry.metrics.Counter("answered").Inc(1)
	if resp.Stream != nil {
		r.forwardStream(c, target, resp)

		return
	}
	out.SetBody(resp.Response.Body())
	wire.CopyContentLength(out, &resp.Response)
	resp.Close()
}
