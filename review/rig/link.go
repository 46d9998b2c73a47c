package main

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// pieceBytes is the size of the pieces in which a link forwards bytes, and maxPieces the number of pieces that are on the way.
	pieceBytes = 16 << 10
	maxPieces  = 4096
)

// link forwards connections to an address, with a fixed delay in each direction.
type link struct {
	to       string
	delay    time.Duration
	listener net.Listener
	cancel   context.CancelFunc
	loops    sync.WaitGroup
}

// piece is a number of bytes on the way, or the end of them.
type piece struct {
	bytes []byte
	due   time.Time
	ended bool
}

// newLink opens a link to the address, and returns it with a function that closes it.
func newLink(ctx context.Context, to string, delay time.Duration) (*link, func(), error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &link{to: to, delay: delay, listener: listener, cancel: cancel}
	l.loops.Go(func() { l.accept(ctx) })

	return l, func() {
		cancel()
		_ = listener.Close()
		l.loops.Wait()
	}, nil
}

func (l *link) address() string {
	return l.listener.Addr().String()
}

func (l *link) accept(ctx context.Context) {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.loops.Go(func() { l.forward(ctx, from) })
	}
}

// forward connects the client to the address until both have closed their sides.
func (l *link) forward(ctx context.Context, from net.Conn) {
	defer func() { _ = from.Close() }()
	to, err := dial(ctx, l.to)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	defer context.AfterFunc(ctx, func() {
		_ = from.Close()
		_ = to.Close()
	})()
	var directions sync.WaitGroup
	directions.Go(func() { l.pump(from, to) })
	directions.Go(func() { l.pump(to, from) })
	directions.Wait()
}

// pump forwards the bytes of one direction, and its end.
func (l *link) pump(from, to net.Conn) {
	pieces := make(chan piece, maxPieces)
	l.loops.Go(func() {
		defer close(pieces)
		for {
			buffer := make([]byte, pieceBytes)
			n, err := from.Read(buffer)
			pieces <- piece{bytes: buffer[:n], due: time.Now().Add(l.delay), ended: err != nil}
			if err != nil {
				return
			}
		}
	})
	for next := range pieces {
		time.Sleep(time.Until(next.due))
		// an error shows at the next read of the other side
		_, _ = to.Write(next.bytes)
		if half, ok := to.(interface{ CloseWrite() error }); ok && next.ended {
			_ = half.CloseWrite()
		}
	}
}
