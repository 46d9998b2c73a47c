package cmds

import (
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/spool"
)

// processLog is the log of a node process.
type processLog struct {
	*slog.Logger

	// lines takes whole lines, and never makes the writer wait for the reader of the log.
	lines *spool.Writer
}

// openProcessLog returns the log of this process on standard output, and a function that writes what is pending.
func openProcessLog(env Env, level string) (processLog, func(), error) {
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(level)); err != nil {
		return processLog{}, nil, errors.Wrap(err, "parse log level")
	}
	// the end of the reader of the log must not end the process
	signal.Ignore(syscall.SIGPIPE)
	lines, closeLines := spool.New(env.Out)
	log := slog.New(slog.NewJSONHandler(lines, &slog.HandlerOptions{Level: parsed}))
	// connections of all listeners log to it when a handler panics
	slog.SetDefault(log)

	return processLog{Logger: log, lines: lines}, closeLines, nil
}

// errLogged marks errors that the log has.
var errLogged = errors.New("logged")

// fail logs the error that ends the process, nil for none, and returns it for the exit code. Nothing is printed besides: the process would wait
// for whoever reads that.
func (l processLog) fail(err error) error {
	if err == nil {
		return nil
	}
	l.Error("node failed", slog.String("error", err.Error()))

	return errors.Mark(err, errLogged)
}
