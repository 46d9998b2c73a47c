package fault

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Fault says what the proxy does to the bytes that pass, the zero value does nothing.
type Fault struct {
	// Delay is added to each chunk in each direction.
	Delay time.Duration
	// ConnectDelay is waited before a new connection goes on to the target.
	ConnectDelay time.Duration
	// BytesPerSecond bounds each direction of each connection, zero for no bound.
	BytesPerSecond int64
	// CutAfter closes a connection after that many bytes from the target, zero for never.
	CutAfter int64
	// LoseAnswers drops all bytes from the target, so that requests take effect without an answer.
	LoseAnswers bool
	// Silent drops all bytes in both directions and keeps the connections open.
	Silent bool
	// ResetNew resets new connections after they were accepted.
	ResetNew bool
}

// Proxy passes TCP connections on to one target.
type Proxy struct {
	address string
	ended   chan *link
	done    chan struct{}
	stop    context.CancelFunc

	mu       sync.Mutex
	target   string
	fault    Fault
	listener net.Listener
	// accepting reports the end of the listener's accept loop.
	accepting chan struct{}
	links     map[*link]struct{}
	accepted  int
}

// New returns a proxy that listens on a free loopback port, and its clean-up, which closes all connections.
func New(ctx context.Context, target string) (*Proxy, func(), error) {
	listener, err := listen(ctx, "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &Proxy{
		address: listener.Addr().String(),
		target:  target,
		ended:   make(chan *link),
		done:    make(chan struct{}),
		stop:    cancel,
		links:   map[*link]struct{}{},
	}
	p.serve(ctx, listener)
	go p.reap(ctx)

	return p, p.close, nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)

	return listener, errors.Wrapf(err, "listen on %s", address)
}

// Address returns the address that clients connect to.
func (p *Proxy) Address() string {
	return p.address
}

// Set switches the faults for open and new connections.
func (p *Proxy) Set(fault Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// Retarget sends new connections to another target.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Accepted returns the number of connections taken so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.accepted
}

// SilenceOpen makes the connections open now silent for good, while new ones work.
func (p *Proxy) SilenceOpen() int {
	return p.each(func(l *link) { l.silent.Store(true) })
}

// ResetOpen resets the connections open now.
func (p *Proxy) ResetOpen() int {
	return p.each((*link).reset)
}

func (p *Proxy) each(apply func(*link)) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		apply(l)
	}

	return len(p.links)
}

// Refuse closes the listener, so that the kernel refuses new connections; open ones stay.
func (p *Proxy) Refuse() error {
	p.mu.Lock()
	listener := p.listener
	accepting := p.accepting
	p.listener = nil
	p.mu.Unlock()
	if listener == nil {
		return nil
	}
	err := listener.Close()
	<-accepting

	return errors.Wrap(err, "close listener")
}

// Restore listens on the same address again after Refuse.
func (p *Proxy) Restore(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	listener, err := listen(ctx, p.address)
	if err != nil {
		return err
	}
	p.serve(context.WithoutCancel(ctx), listener)

	return nil
}

// serve starts the accept loop of a listener; the caller holds the lock or is alone.
func (p *Proxy) serve(ctx context.Context, listener net.Listener) {
	p.listener = listener
	p.accepting = make(chan struct{})
	go p.accept(ctx, listener, p.accepting)
}

// close is the clean-up; it waits for every connection to end.
func (p *Proxy) close() {
	_ = p.Refuse()
	p.stop()
	<-p.done
}

func (p *Proxy) state() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.fault
}

// accept runs until its listener closes, and reports that on ended.
func (p *Proxy) accept(ctx context.Context, listener net.Listener, ended chan<- struct{}) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			close(ended)

			return
		}
		l := newLink(p, conn)
		p.mu.Lock()
		p.accepted++
		p.links[l] = struct{}{}
		target := p.target
		p.mu.Unlock()
		go l.run(ctx, target, p.ended)
	}
}

// reap takes in the ends of connections; after the context's end it closes those that are left.
func (p *Proxy) reap(ctx context.Context) {
	defer close(p.done)
	for {
		select {
		case l := <-p.ended:
			p.forget(l)
		case <-ctx.Done():
			for p.each((*link).close) > 0 {
				p.forget(<-p.ended)
			}

			return
		}
	}
}

func (p *Proxy) forget(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}
