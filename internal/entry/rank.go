package entry

import (
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/pistachiotack/pistachiotack/internal/scope"
	"github.com/pistachiotack/pistachiotack/internal/wire"
	"github.com/pistachiotack/pistachiotack/pkg/call"
	"github.com/pistachiotack/pistachiotack/pkg/tree"
)

// rootRank returns the rank of a root request, which decides what is refused first under overload. A retry by the caller within
// the mean Retry-After gets the same rank.
func rootRank(ctx *app.RequestContext, caller string, policy tree.Policy, now time.Time) call.Rank {
	root := call.NewRetryRoot(now, policy.RetryAfter,
		[]byte(caller),
		ctx.Request.Header.Method(),
		ctx.Request.URI().Path(),
		ctx.Request.Header.Peek(wire.HeaderIdempotencyKey),
		ctx.Request.URI().QueryArgs().Peek(wire.QueryTicket),
	)

	return call.NewRank(policy.Priority, root)
}

// callRank returns the inherited rank, or a higher one if the kind of the call has a more important class.
func callRank(inherited *scope.Scope, policy tree.Policy) call.Rank {
	if policy.Priority <= inherited.Rank.Class() {
		return inherited.Rank
	}

	return call.NewRank(policy.Priority, inherited.Root)
}
