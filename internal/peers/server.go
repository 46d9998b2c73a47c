package peers

import (
	"context"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pistachiotack/pistachiotack/internal/panics"
)

// acceptRetryDelay is the delay after a failed accept, which prevents a busy loop when file descriptors run out.
const acceptRetryDelay = 50 * time.Millisecond

// server accepts connections from peers and serves their calls.
type server struct {
	options  Options
	counters *counters
	rpc      *rpc.Server
	listener net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	// connsDone waits for the end of all connections.
	connsDone sync.WaitGroup
}

func newServer(options Options, counters *counters) *server {
	return &server{
		options:  options,
		counters: counters,
		rpc:      rpc.NewServer(),
		conns:    map[net.Conn]struct{}{},
	}
}

// run accepts connections until the listener is closed, and returns when all connections have ended.
func (s *server) run(ctx context.Context) error {
	defer s.connsDone.Wait()
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.options.Log.LogAttrs(ctx, slog.LevelWarn, "accept failed", slog.String("error", err.Error()))
			time.Sleep(acceptRetryDelay)

			continue
		}
		s.serve(raw)
	}
}

// serve serves the calls of one connection in the background, until the connection ends or has been idle for the read timeout.
func (s *server) serve(raw net.Conn) {
	counting := &conn{
		Conn:         raw,
		counters:     s.counters,
		readTimeout:  s.options.IdleTimeout * serverIdleTimeoutFactor,
		writeTimeout: s.options.Timeout,
	}
	if !s.track(counting) {
		_ = raw.Close()

		return
	}
	s.connsDone.Add(1)
	go func() {
		defer s.connsDone.Done()
		defer s.untrack(counting)
		s.serveCalls(newCodec(counting))
	}()
}

// serveCalls reads calls one after the other and runs them side by side, until the connection ends.
func (s *server) serveCalls(codec *codec) {
	var running sync.WaitGroup
	defer running.Wait()
	defer func() { _ = codec.Close() }()
	for {
		ended := make(chan error, 1)
		running.Add(1)
		go func() {
			defer running.Done()
			ended <- s.serveCall(codec)
		}()
		select {
		case <-codec.read:
			continue
		case err := <-ended:
			if err == nil {
				<-codec.read

				continue
			}
		}
		select {
		case <-codec.read:
			// the call was refused, but it has been read to its end
		default:
			return
		}
	}
}

// serveCall reads one call and runs it. A panic in its method ends the connection only.
func (s *server) serveCall(codec *codec) error {
	err := panics.Do(context.Background(), s.options.Log, "control call", func(context.Context) error {
		return s.rpc.ServeRequest(codec)
	})
	if errors.Is(err, panics.ErrPanic) {
		_ = codec.Close()
	}

	return err
}

// track registers the connection for stop. It returns false if the server has stopped.
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
