package peers

import (
	"context"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptPause is the wait after a failed accept, so that a lack of descriptors does not spin.
const acceptPause = 50 * time.Millisecond

// server accepts connections of peers and runs their calls.
type server struct {
	options  Options
	counters *counters
	rpc      *rpc.Server
	listener net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	served sync.WaitGroup
}

func newServer(options Options, counters *counters) *server {
	return &server{
		options:  options,
		counters: counters,
		rpc:      rpc.NewServer(),
		conns:    map[net.Conn]struct{}{},
	}
}

// run accepts until the listener is closed, and returns when every connection has ended.
func (s *server) run(ctx context.Context) error {
	defer s.served.Wait()
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.options.Log.LogAttrs(ctx, slog.LevelWarn, "accept failed", slog.String("error", err.Error()))
			time.Sleep(acceptPause)

			continue
		}
		s.serve(raw)
	}
}

// serve runs the calls of one connection until it ends or was silent for long.
func (s *server) serve(raw net.Conn) {
	counted := &conn{
		Conn:       raw,
		counters:   s.counters,
		readLimit:  s.options.IdleTimeout * serverIdleFactor,
		writeLimit: s.options.Timeout,
	}
	if !s.track(counted) {
		_ = raw.Close()

		return
	}
	s.served.Add(1)
	go func() {
		defer s.served.Done()
		defer s.untrack(counted)
		s.rpc.ServeConn(counted)
	}()
}

func (s *server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}

	return true
}

func (s *server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.conns, c)
}

// stop closes the listener and every connection.
func (s *server) stop() error {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}

	return s.listener.Close()
}
