package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

func (transport *Transport) connect(address Address, peerSession *session) {
	defer close(peerSession.ready)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	mux, remote, err := transport.dialSession(ctx, address)
	if err != nil {
		peerSession.err = fmt.Errorf("connect to peer %s: %w", address, err)
		transport.removeSession(address, peerSession)
		return
	}
	transport.lock.Lock()
	peerSession.mux = mux
	peerSession.remote = remote
	closed := transport.closed
	transport.lock.Unlock()
	if closed {
		_ = mux.Close()
	}
	go transport.watch(address, peerSession)
}

func (transport *Transport) dialSession(ctx context.Context, address Address) (*yamux.Session, Hello, error) {
	conn, err := transport.dial(ctx, address)
	if err != nil {
		return nil, Hello{}, err
	}
	remote, err := transport.handshake(conn)
	if err != nil {
		_ = conn.Close()
		return nil, Hello{}, err
	}
	mux, err := yamux.Client(&frameBatcher{Conn: conn}, transport.muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, Hello{}, err
	}
	return mux, remote, nil
}

func (transport *Transport) dial(ctx context.Context, address Address) (net.Conn, error) {
	conn, err := transport.dialConn(ctx, address)
	if err != nil || transport.ClientTLS == nil {
		return conn, err
	}
	tlsConn := tls.Client(conn, transport.ClientTLS)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("TLS handshake: %w", err)
	}
	return tlsConn, nil
}

func (transport *Transport) dialConn(ctx context.Context, address Address) (net.Conn, error) {
	if transport.Dial != nil {
		return transport.Dial(ctx, address)
	}
	return dialTCP(ctx, address)
}

func (transport *Transport) handshake(conn net.Conn) (Hello, error) {
	remote, err := exchangeHello(conn, transport.Self)
	if err != nil {
		return Hello{}, err
	}
	tlsConn, ok := conn.(*tls.Conn)
	if !ok || transport.Identify == nil {
		return remote, nil
	}
	return remote, transport.Identify(tlsConn.ConnectionState(), remote)
}

// watch removes a session once it is closed, or once its peer is silent. A session
// with a silent peer is closed when its last call has ended.
func (transport *Transport) watch(address Address, peerSession *session) {
	ticker := time.NewTicker(transport.pingInterval())
	defer ticker.Stop()
	silent, unused := false, false
	for {
		select {
		case <-peerSession.mux.CloseChan():
			transport.removeSession(address, peerSession)
			if silent {
				transport.logPeer(address, peerSession, "peer: the connection to the silent peer is closed")
			}
			return
		case <-ticker.C:
		}
		if silent {
			if peerSession.mux.NumStreams() == 0 {
				_ = peerSession.mux.Close()
			}
			continue
		}
		wasUnused := unused
		unused = peerSession.mux.NumStreams() == 0
		if wasUnused && unused && transport.discard(address, peerSession) {
			continue
		}
		_, err := peerSession.mux.Ping()
		if errors.Is(err, yamux.ErrTimeout) || errors.Is(err, yamux.ErrConnectionWriteTimeout) {
			silent = true
			transport.setSilent(address, peerSession)
			transport.logPeer(address, peerSession, "peer: no answer to a ping; new calls get a new connection")
		}
	}
}

// discard closes an unused session, unless it is to be kept.
func (transport *Transport) discard(address Address, peerSession *session) bool {
	transport.lock.Lock()
	kept := peerSession.kept
	if !kept && transport.sessions[address] == peerSession {
		delete(transport.sessions, address)
	}
	transport.lock.Unlock()
	if !kept {
		_ = peerSession.mux.Close()
	}
	return !kept
}

// setSilent takes a session out of use for new streams.
func (transport *Transport) setSilent(address Address, peerSession *session) {
	transport.lock.Lock()
	if transport.sessions[address] == peerSession {
		delete(transport.sessions, address)
	}
	if transport.silent == nil {
		transport.silent = make(map[*session]struct{})
	}
	transport.silent[peerSession] = struct{}{}
	transport.lock.Unlock()
	peerSession.setSilent()
}

func (transport *Transport) logPeer(address Address, peerSession *session, event string) {
	if transport.Logger != nil {
		transport.Logger.Warn().Str("peer", string(peerSession.remote.Node)).Str("address", string(address)).
			Int("streams", peerSession.mux.NumStreams()).Msg(event)
	}
}

func (transport *Transport) pingInterval() time.Duration {
	return cmp.Or(transport.PingInterval, defaultPingInterval)
}

func (transport *Transport) removeSession(address Address, peerSession *session) {
	transport.lock.Lock()
	defer transport.lock.Unlock()
	delete(transport.silent, peerSession)
	if transport.sessions[address] == peerSession {
		delete(transport.sessions, address)
	}
}
