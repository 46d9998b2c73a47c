package listen

import (
	"context"
	"net"
	"syscall"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/suite"
)

// protocolServer serves HTTP/1.1 connections in place of hertz's own loop, which reads a request only after the response to the one
// before. The parser and the writer are hertz's.
type protocolServer struct {
	server *Server
	core   suite.Core
}

// New is called by hertz when the server starts.
func (s *Server) New(core suite.Core) (protocol.Server, error) {
	return &protocolServer{server: s, core: core}, nil
}

// Serve serves one connection until it ends.
func (p *protocolServer) Serve(ctx context.Context, conn network.Conn) error {
	return newConnection(p, conn, socketOf(ctx)).serve(ctx)
}

// acquire returns a request context for the connection.
func (p *protocolServer) acquire(conn network.Conn) *app.RequestContext {
	ctx, ok := p.core.GetCtxPool().Get().(*app.RequestContext)
	if !ok {
		ctx = &app.RequestContext{}
	}
	ctx.SetConn(conn)
	ctx.Response.Header.SetNoDefaultContentType(true)

	return ctx
}

func (p *protocolServer) recycle(ctx *app.RequestContext) {
	if ctx.IsExiled() {
		return
	}
	ctx.Reset()
	p.core.GetCtxPool().Put(ctx)
}

// States of a TCP socket of Linux whose peer has closed the connection, or reset it.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// closedByPeer reports whether the other end of a TCP connection has closed it; false if the system doesn't tell.
func closedByPeer(socket net.Conn) bool {
	access, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := access.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		// the state is the first byte of the structure
		if info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO); err == nil {
			state := info & 0xff
			closed = state == tcpClose || state == tcpCloseWait
		}
	})

	return err == nil && closed
}

type socketKey struct{}

// withSocket keeps the accepted connection, which hertz wraps in one that cannot be closed for writing only.
func withSocket(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), socketKey{}, conn)
}

// socketOf returns the connection that withSocket has kept, nil if there is none.
func socketOf(ctx context.Context) net.Conn {
	socket, _ := ctx.Value(socketKey{}).(net.Conn)

	return socket
}
