package listen

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// drainInterval is the time between checks for requests in progress.
	drainInterval = 10 * time.Millisecond
	// connectionGrace is how long the server must have had no request before a drain ends. It lets a client that still uses its
	// connection get a response with `Connection: close`. maxConnectionWait bounds the wait for such clients.
	connectionGrace   = 300 * time.Millisecond
	maxConnectionWait = 3 * time.Second
)

// ErrDrainDeadline means that requests were still in progress at the deadline of a drain.
var ErrDrainDeadline = errors.New("requests still open at the drain deadline")

// DisableKeepAlives closes each connection after its next response.
func (s *Server) DisableKeepAlives() {
	s.keepAlivesDisabled.Store(true)
}

// StopAccepting closes the port. Requests on open connections are still served.
func (s *Server) StopAccepting() error {
	return errors.Wrapf(s.listener.StopAccepting(), "refuse connections at %s", s.Address())
}

// Drain waits until active returns 0 and clients have stopped sending requests. The error is ErrDrainDeadline if the context ends
// before.
func (s *Server) Drain(ctx context.Context, active func() int64) error {
	startedAt := time.Now()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for active() > 0 || (!s.idle() && time.Since(startedAt) < maxConnectionWait) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ErrDrainDeadline, "%d requests at %s", active(), s.Address())
		}
	}

	return nil
}

// idle reports whether no request is being read or in progress and none ended within connectionGrace.
func (s *Server) idle() bool {
	return s.ActiveRequests() == 0 && time.Since(time.Unix(0, s.lastEndedAt.Load())) >= connectionGrace
}
