package loops

import (
	"context"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/waits"
)

const (
	// minPause and maxPause bound the time until a loop that has panicked is run again. It doubles with each panic, and starts anew when
	// the loop has run for longer than maxPause.
	minPause = 100 * time.Millisecond
	maxPause = 5 * time.Second
)

var errPanic = errors.New("panic")

// Keep runs a loop until it returns, and returns its error. A loop that panics is logged, and run again until the context ends.
func Keep(ctx context.Context, log *slog.Logger, name string, loop func(context.Context) error) error {
	pause := minPause
	for {
		startedAt := time.Now()
		err := Do(ctx, log, name, loop)
		if !errors.Is(err, errPanic) {
			return err
		}
		if time.Since(startedAt) > maxPause {
			pause = minPause
		}
		waits.Sleep(ctx, pause)
		if ctx.Err() != nil {
			return nil
		}
		pause = min(2*pause, maxPause)
	}
}

// Do runs a step of background work once and returns its error. A panic is logged and returned as an error.
func Do(ctx context.Context, log *slog.Logger, name string, step func(context.Context) error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			log.LogAttrs(ctx, slog.LevelError, "panic in background work",
				slog.String("work", name), slog.Any("panic", cause), slog.String("stack", string(debug.Stack())))
			err = errors.Wrapf(errPanic, "%s: %v", name, cause)
		}
	}()

	return step(ctx)
}
