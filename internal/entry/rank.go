package entry

import (
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pistachiotack/pistachiotack/internal/scope"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// drawRank returns the rank of a root request, the same for its repetitions within the mean Retry-After.
func drawRank(ctx *app.RequestContext, caller string, policy tree.Policy, now time.Time) call.Rank {
	root := call.NewRetryRoot(now, policy.RetryAfter,
		[]byte(caller),
		ctx.Request.Header.Method(),
		ctx.Request.URI().Path(),
		ctx.Request.Header.Peek(wire.HeaderIdempotencyKey),
		ctx.Request.URI().QueryArgs().Peek(wire.QueryTicket),
	)

	return call.NewRank(policy.Priority, root)
}

// rankOf returns the rank of a call under the scope, which only a more important kind raises.
func rankOf(inherited *scope.Scope, policy tree.Policy) call.Rank {
	if policy.Priority <= inherited.Rank.Class() {
		return inherited.Rank
	}

	return call.NewRank(policy.Priority, inherited.Root)
}
