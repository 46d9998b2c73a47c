package plat

import (
	"context"
	"net"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cockroachdb/errors"
)

const maxBody = 64 << 20

// Platform is one running stand-in; it keeps everything in memory.
type Platform struct {
	address string
	state   *state
}

// New starts a stand-in on the address, port 0 for a free one; the clean-up closes it.
func New(ctx context.Context, address string) (*Platform, func(), error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen on %s", address)
	}
	p := &Platform{address: listener.Addr().String(), state: newState()}
	engine := server.New(
		server.WithListener(listener),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(maxBody),
		server.WithExitWaitTime(0),
	)
	p.route(engine)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = engine.Run()
	}()

	return p, func() {
		_ = engine.Close()
		<-ended
	}, nil
}

// Address returns the address that the stand-in listens on.
func (p *Platform) Address() string {
	return p.address
}

// SetFault switches a fault on, ModeNone for none.
func (p *Platform) SetFault(fault Fault) {
	p.state.setFault(fault)
}

// Save keeps a copy of the table for Restore.
func (p *Platform) Save() {
	p.state.save()
}

// Restore brings the table back to the copy that was saved, as after a restore from an older backup.
func (p *Platform) Restore() {
	p.state.restore()
}

// Counts returns the requests so far, those that failed included.
func (p *Platform) Counts() Counts {
	return p.state.totals()
}
