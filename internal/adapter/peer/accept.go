package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"

	"github.com/hashicorp/yamux"
)

// Serve accepts connections until the context ends or the listener fails.
func (transport *Transport) Serve(ctx context.Context, listener net.Listener) error {
	transport.checkHostTime()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept peer connection: %w", err)
		}
		go transport.serveConn(ctx, conn)
	}
}

func (transport *Transport) serveConn(ctx context.Context, conn net.Conn) {
	detectSilence(conn)
	accepted := &acceptedConn{Conn: conn}
	conn = accepted
	if transport.ServerTLS != nil {
		conn = tls.Server(conn, transport.ServerTLS)
	}
	remote, err := transport.handshake(conn)
	if err != nil {
		transport.logRefused(err, conn)
		_ = conn.Close()
		return
	}
	mux, err := yamux.Server(&frameBatcher{Conn: conn}, transport.muxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	if !transport.trackAccepted(mux) {
		_ = mux.Close()
		return
	}
	defer transport.closeAccepted(mux)
	transport.acceptStreams(ctx, mux, remote, accepted)
}

func (transport *Transport) trackAccepted(mux *yamux.Session) bool {
	transport.lock.Lock()
	defer transport.lock.Unlock()
	if transport.closed {
		return false
	}
	if transport.accepted == nil {
		transport.accepted = make(map[*yamux.Session]struct{})
	}
	transport.accepted[mux] = struct{}{}
	return true
}

func (transport *Transport) closeAccepted(mux *yamux.Session) {
	transport.lock.Lock()
	defer transport.lock.Unlock()
	delete(transport.accepted, mux)
	_ = mux.Close()
}

func (transport *Transport) acceptStreams(ctx context.Context, mux *yamux.Session, remote Hello, accepted *acceptedConn) {
	for {
		conn, err := mux.AcceptStream()
		if err != nil {
			return
		}
		stream := newStream(conn, remote, 0)
		stream.accepted = accepted
		go transport.serveStream(ctx, stream)
	}
}

func (transport *Transport) serveStream(ctx context.Context, stream *Stream) {
	stream.openSent = true
	defer func() { _ = stream.Close() }()
	frame, err := stream.Receive()
	if err != nil {
		return
	}
	if frame.Kind != FrameOpen || len(frame.Payload) != 1 {
		return
	}
	stream.kind = StreamKind(frame.Payload[0])
	handler, ok := transport.Handlers[stream.kind]
	if !ok {
		return
	}
	handler(ctx, stream)
}

func (transport *Transport) logRefused(err error, conn net.Conn) {
	if transport.Logger == nil || errors.Is(err, io.EOF) {
		return
	}
	transport.Logger.Warn().Err(err).Str("from", conn.RemoteAddr().String()).Msg("peer: handshake failed; connection closed")
}
