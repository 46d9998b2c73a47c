package guard

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pistachiotack/pistachiotack/internal/relay"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
)

const (
	statusBadRequest  = 400
	statusUnavailable = 503
)

// handle serves one call from another node. A call that did not run gets status 503, with the reason in the report header.
func (g *Guard) handle(c context.Context, ctx *app.RequestContext) {
	hop, err := wire.ParseHop(&ctx.Request.Header)
	if err != nil {
		ctx.Response.SetStatusCode(statusBadRequest)
		ctx.Response.SetBodyString(err.Error())

		return
	}
	response, release := relay.NewResponse()
	defer release()
	report := g.Run(c, hop, &ctx.Request, response)
	if report.Outcome == call.OutcomeRan {
		wire.ForwardResponse(&ctx.Response, &response.Response)
	} else {
		ctx.Response.SetStatusCode(statusUnavailable)
	}
	wire.SetReport(&ctx.Response.Header, report)
}
