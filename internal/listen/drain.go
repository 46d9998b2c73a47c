package listen

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// drainInterval is how often a drain looks for requests that are still open.
	drainInterval = 10 * time.Millisecond
	// An other end that keeps its connection and asks again within the grace is answered, until the limit.
	leaveGrace = 300 * time.Millisecond
	leaveLimit = 3 * time.Second
)

// ErrDrainDeadline is returned by Drain when requests are still open at its deadline.
var ErrDrainDeadline = errors.New("requests still open at the drain deadline")

// DisableKeepAlives asks the other ends to close their connections after their next answer.
func (s *Server) DisableKeepAlives() {
	s.leaving.Store(true)
}

// StopAccepting takes no more connections; those that are open go on.
func (s *Server) StopAccepting() error {
	return errors.Wrapf(s.listener.Refuse(), "refuse connections at %s", s.Address())
}

// Drain returns when the work is done and the other ends have left, ErrDrainDeadline if the context ends before.
func (s *Server) Drain(ctx context.Context, work func() int64) error {
	began := time.Now()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for work() > 0 || (!s.quiet() && time.Since(began) < leaveLimit) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ErrDrainDeadline, "%d requests at %s", work(), s.Address())
		}
	}

	return nil
}

// quiet reports whether no request is open and none ended within the grace.
func (s *Server) quiet() bool {
	return s.open.Load() == 0 && time.Since(time.Unix(0, s.lastEnd.Load())) >= leaveGrace
}
