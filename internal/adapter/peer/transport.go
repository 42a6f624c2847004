// Package peer implements the protocol between the processes of one user.
// Connections are TCP or TLS and multiplexed with yamux. Each yamux stream carries
// frames with kind, length, call id and CRC-32C checksum; a frame holds a protobuf
// message or a part of a body.
//
// A connection starts with a hello from each side that contains the protocol
// version. A peer with another version is rejected with [ErrIncompatible].
//
// A [Transport] keeps one outgoing connection per address and reuses idle streams
// by kind. A stream whose exchange did not complete is closed, never reused. A connection
// that was used for streams of [KindRegistry] only is closed some seconds after the last
// of them, since a node asks many replicas and stays with one.
//
// A peer that answers no ping may be paused rather than dead. It gets no new calls on
// that connection, but the calls under way go on until they end or TCP reports the
// connection dead, because their answers may still come.
//
// Calls with headers, bodies and cancellation are built on streams of [KindCall]:
// [Transport.Call] makes one, [ServeCalls] serves them.
//
// A Transport is safe for concurrent use. On one [Stream], one goroutine may send
// while another receives.
//
// # Usage
//
//	transport := &peer.Transport{Self: hello, Handlers: map[peer.StreamKind]peer.Handler{
//		peer.KindCall: serveCall,
//	}}
//	go transport.Serve(ctx, listener)
//	stream, err := transport.Open(ctx, "127.0.0.1:7001", peer.KindCall)
//	...
//	transport.Release(address, stream) // for the next exchange
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/phuslu/log"
)

const (
	// dialTimeout is short, so that a peer is tried again soon after a network
	// outage ends.
	dialTimeout          = time.Second
	defaultPingInterval  = 3 * time.Second
	maxStreamWindowBytes = 256 << 10
	// maxIdleStreams bounds the idle streams of one kind to one peer. A new stream
	// costs a few bytes and no round trip; an idle one costs its buffers at both ends.
	maxIdleStreams = 8
)

// Handler serves one inbound stream. The stream is closed when it returns.
type Handler func(ctx context.Context, stream *Stream)

// Address is where a peer listens, as host:port.
type Address string

// Transport opens and accepts connections and streams. The exported fields are set
// before the first use; the methods are safe for concurrent use.
type Transport struct {
	Self     Hello
	Handlers map[StreamKind]Handler
	// ServerTLS and ClientTLS configure TLS for accepted and for dialed connections;
	// nil means plaintext.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address Address) (net.Conn, error)
	// Identify checks that the certificate of a TLS connection belongs to the node
	// named in its hello; nil disables the check.
	Identify func(state tls.ConnectionState, hello Hello) error
	// PingInterval is how often a connection is checked, and how long the peer may take
	// to answer before it counts as silent; zero means 3 s.
	PingInterval time.Duration
	Logger       *log.Logger

	lock     sync.Mutex
	sessions map[Address]*session
	accepted map[*yamux.Session]struct{}
	// silent holds the sessions whose peer answers no ping and that still carry calls.
	silent map[*session]struct{}
	closed bool
}

// Open returns a stream of the kind to the address: an idle one, or a new one over
// the connection to the address. It dials if there is no connection.
func (transport *Transport) Open(ctx context.Context, address Address, kind StreamKind) (*Stream, error) {
	peerSession, err := transport.session(ctx, address, kind != KindRegistry)
	if err != nil {
		return nil, err
	}
	if stream, ok := peerSession.takeIdle(kind); ok {
		return stream, nil
	}
	conn, err := peerSession.mux.OpenStream()
	if err != nil {
		transport.removeSession(address, peerSession)
		return nil, fmt.Errorf("open stream to %s: %w", address, err)
	}
	stream := newStream(conn, peerSession.remote, kind)
	if !peerSession.register(stream) {
		_ = stream.Close()
		return nil, fmt.Errorf("open stream to %s: %w", address, errSilent)
	}
	return stream, nil
}

// Connect dials the address if there is no connection to it, so that the next
// stream need not wait for one.
func (transport *Transport) Connect(ctx context.Context, address Address) error {
	_, err := transport.session(ctx, address, true)
	return err
}

// Connected reports whether a connection to the address is established. If so, it is kept.
func (transport *Transport) Connected(address Address) bool {
	transport.lock.Lock()
	peerSession := transport.sessions[address]
	if peerSession != nil {
		peerSession.kept = true
	}
	transport.lock.Unlock()
	return peerSession != nil && peerSession.established()
}

// Release returns a stream after a complete exchange, for reuse by the next one of
// its kind. Surplus streams, and those of an earlier connection, are closed.
func (transport *Transport) Release(address Address, stream *Stream) {
	transport.lock.Lock()
	peerSession := transport.sessions[address]
	transport.lock.Unlock()
	if peerSession == nil || peerSession != stream.session || !peerSession.putIdle(stream) {
		_ = stream.Close()
	}
}

// Close closes all connections. Open, Connect and Call then fail with
// [net.ErrClosed].
func (transport *Transport) Close() error {
	transport.lock.Lock()
	transport.closed = true
	muxes := make([]*yamux.Session, 0, len(transport.accepted)+len(transport.sessions))
	for mux := range transport.accepted {
		muxes = append(muxes, mux)
	}
	for peerSession := range transport.silent {
		muxes = append(muxes, peerSession.mux)
	}
	for _, peerSession := range transport.sessions {
		if peerSession.mux != nil {
			muxes = append(muxes, peerSession.mux)
		}
	}
	transport.lock.Unlock()
	var err error
	for _, mux := range muxes {
		err = errors.Join(err, mux.Close())
	}
	return err
}

// session returns the connection to the address and dials it if there is none. If keep is
// set, the connection is kept while it carries no streams.
func (transport *Transport) session(ctx context.Context, address Address, keep bool) (*session, error) {
	transport.lock.Lock()
	if transport.closed {
		transport.lock.Unlock()
		return nil, net.ErrClosed
	}
	peerSession := transport.sessions[address]
	if peerSession != nil && peerSession.broken() {
		delete(transport.sessions, address)
		peerSession = nil
	}
	if peerSession == nil {
		peerSession = &session{ready: make(chan struct{})}
		if transport.sessions == nil {
			transport.sessions = make(map[Address]*session)
		}
		transport.sessions[address] = peerSession
		go transport.connect(address, peerSession)
	}
	peerSession.kept = peerSession.kept || keep
	transport.lock.Unlock()
	return awaitSession(ctx, peerSession)
}
