package waits

import (
	"context"
	"time"
)

// WithShare returns a context that ends after a share of the time to the deadline of the context, if it has one.
func WithShare(ctx context.Context, share float64) (context.Context, context.CancelFunc) {
	deadline, found := ctx.Deadline()
	if !found {
		return context.WithCancel(ctx)
	}

	return context.WithTimeout(ctx, time.Duration(share*float64(time.Until(deadline))))
}
