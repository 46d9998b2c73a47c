package panics

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

// ErrPanic is wrapped by the errors that panics have become.
var ErrPanic = errors.New("panic")

// Keep runs a loop until it returns, and returns its error. A loop that panics is logged, and run again until the context ends.
func Keep(ctx context.Context, log *slog.Logger, name string, loop func(context.Context) error) error {
	pause := minPause
	for {
		startedAt := time.Now()
		err := Do(ctx, log, name, loop)
		if !errors.Is(err, ErrPanic) {
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

// Do runs a step of the named work once and returns its error. A panic is logged, and returned as an error that wraps ErrPanic.
func Do(ctx context.Context, log *slog.Logger, name string, step func(context.Context) error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			log.LogAttrs(ctx, slog.LevelError, "panic",
				slog.String("work", name), slog.Any("cause", cause), slog.String("stack", string(debug.Stack())))
			err = errors.Wrapf(ErrPanic, "%s: %v", name, cause)
		}
	}()

	return step(ctx)
}
