// Package peer carries messages between the processes of one user: yamux over
// TCP or TLS, and on each yamux stream frames with kind, length, call id and
// CRC-32C checksum, which hold protobuf messages or parts of a body.
//
// A connection starts with a hello from each side that names the version of
// the protocol; another version is refused with [ErrIncompatible].
//
// # Usage
//
//	transport := &peer.Transport{Self: hello, Handlers: map[peer.Kind]peer.Handler{
//		peer.KindCall: serveCall,
//	}}
//	go transport.Serve(ctx, listener)
//	stream, err := transport.Open(ctx, "127.0.0.1:7001", peer.KindCall)
//	...
//	transport.Keep(address, stream) // for the next exchange
//
// A stream that ended in the middle of an exchange is closed, never kept.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/phuslu/log"
)

const (
	dialTimeout       = 2 * time.Second
	keepAliveInterval = 5 * time.Second
	streamWindow      = 256 << 10
	idleStreams       = 64
)

// Handler serves one inbound stream. The stream is closed when it returns.
type Handler func(ctx context.Context, stream *Stream)

// Address is where a peer listens, as host:port.
type Address string

// Transport opens and accepts streams. The exported fields are set before the
// first use.
type Transport struct {
	Self     Hello
	Handlers map[Kind]Handler
	// ServerTLS and ClientTLS secure the connections; both nil means plaintext.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address Address) (net.Conn, error)
	// Identify checks that a secured connection belongs to the node that its
	// hello names; nil checks nothing.
	Identify func(state tls.ConnectionState, hello Hello) error
	Logger   *log.Logger

	lock     sync.Mutex
	sessions map[Address]*session
	accepted map[*yamux.Session]struct{}
	closed   bool
}

type session struct {
	ready  chan struct{}
	err    error
	mux    *yamux.Session
	remote Hello

	lock sync.Mutex
	idle [kindLimit][]*Stream
}

// Serve accepts connections until the context ends or the listener fails.
func (tr *Transport) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept peer: %w", err)
		}
		go tr.serveConn(ctx, conn)
	}
}

func (tr *Transport) serveConn(ctx context.Context, conn net.Conn) {
	if tr.ServerTLS != nil {
		conn = tls.Server(conn, tr.ServerTLS)
	}
	remote, err := tr.greet(conn)
	if err != nil {
		tr.warn(err, conn)
		_ = conn.Close()
		return
	}
	mux, err := yamux.Server(&joiner{Conn: conn}, muxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	if !tr.track(mux) {
		_ = mux.Close()
		return
	}
	defer tr.untrack(mux)
	tr.acceptStreams(ctx, mux, remote)
}

func (tr *Transport) track(mux *yamux.Session) bool {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	if tr.closed {
		return false
	}
	if tr.accepted == nil {
		tr.accepted = make(map[*yamux.Session]struct{})
	}
	tr.accepted[mux] = struct{}{}
	return true
}

func (tr *Transport) untrack(mux *yamux.Session) {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	delete(tr.accepted, mux)
	_ = mux.Close()
}

func (tr *Transport) acceptStreams(ctx context.Context, mux *yamux.Session, remote Hello) {
	for {
		conn, err := mux.AcceptStream()
		if err != nil {
			return
		}
		go tr.serveStream(ctx, &Stream{conn: conn, remote: remote, opened: true})
	}
}

func (tr *Transport) serveStream(ctx context.Context, stream *Stream) {
	defer func() { _ = stream.Close() }()
	frame, err := stream.Receive()
	if err != nil {
		return
	}
	if frame.Kind != FrameOpen || len(frame.Payload) != 1 {
		return
	}
	stream.kind = Kind(frame.Payload[0])
	handler, ok := tr.Handlers[stream.kind]
	if !ok {
		return
	}
	handler(ctx, stream)
}

// Open gives a stream of the kind to the address, over the one connection to
// it. It dials when there is none.
func (tr *Transport) Open(ctx context.Context, address Address, kind Kind) (*Stream, error) {
	current, err := tr.session(ctx, address)
	if err != nil {
		return nil, err
	}
	if stream, ok := current.takeIdle(kind); ok {
		return stream, nil
	}
	conn, err := current.mux.OpenStream()
	if err != nil {
		tr.forget(address, current)
		return nil, fmt.Errorf("open stream to %s: %w", address, err)
	}
	return &Stream{conn: conn, remote: current.remote, kind: kind}, nil
}

// Connect makes sure that a connection to the address stands, so that no call
// waits for one.
func (tr *Transport) Connect(ctx context.Context, address Address) error {
	_, err := tr.session(ctx, address)
	return err
}

// Keep hands a stream back after a whole exchange, for the next one of its kind.
func (tr *Transport) Keep(address Address, stream *Stream) {
	tr.lock.Lock()
	current := tr.sessions[address]
	tr.lock.Unlock()
	if current == nil || !current.keep(stream) {
		_ = stream.Close()
	}
}

// Close ends all connections.
func (tr *Transport) Close() error {
	tr.lock.Lock()
	tr.closed = true
	muxes := make([]*yamux.Session, 0, len(tr.accepted)+len(tr.sessions))
	for mux := range tr.accepted {
		muxes = append(muxes, mux)
	}
	for _, current := range tr.sessions {
		if current.mux != nil {
			muxes = append(muxes, current.mux)
		}
	}
	tr.lock.Unlock()
	var err error
	for _, mux := range muxes {
		err = errors.Join(err, mux.Close())
	}
	return err
}

func (tr *Transport) session(ctx context.Context, address Address) (*session, error) {
	tr.lock.Lock()
	if tr.closed {
		tr.lock.Unlock()
		return nil, net.ErrClosed
	}
	current := tr.sessions[address]
	if current != nil && current.broken() {
		delete(tr.sessions, address)
		current = nil
	}
	if current == nil {
		current = &session{ready: make(chan struct{})}
		if tr.sessions == nil {
			tr.sessions = make(map[Address]*session)
		}
		tr.sessions[address] = current
		go tr.connect(address, current)
	}
	tr.lock.Unlock()
	return awaitSession(ctx, current)
}

func awaitSession(ctx context.Context, current *session) (*session, error) {
	select {
	case <-current.ready:
		return current, current.err
	default:
	}
	select {
	case <-current.ready:
		return current, current.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (tr *Transport) connect(address Address, current *session) {
	defer close(current.ready)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	mux, remote, err := tr.dialSession(ctx, address)
	if err != nil {
		current.err = fmt.Errorf("connect to peer %s: %w", address, err)
		tr.forget(address, current)
		return
	}
	tr.lock.Lock()
	current.mux = mux
	current.remote = remote
	closed := tr.closed
	tr.lock.Unlock()
	if closed {
		_ = mux.Close()
	}
	go tr.forgetWhenClosed(address, current)
}

func (tr *Transport) dialSession(ctx context.Context, address Address) (*yamux.Session, Hello, error) {
	conn, err := tr.dial(ctx, address)
	if err != nil {
		return nil, Hello{}, err
	}
	remote, err := tr.greet(conn)
	if err != nil {
		_ = conn.Close()
		return nil, Hello{}, err
	}
	mux, err := yamux.Client(&joiner{Conn: conn}, muxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, Hello{}, err
	}
	return mux, remote, nil
}

func (tr *Transport) dial(ctx context.Context, address Address) (net.Conn, error) {
	conn, err := tr.dialPlain(ctx, address)
	if err != nil || tr.ClientTLS == nil {
		return conn, err
	}
	secured := tls.Client(conn, tr.ClientTLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("secure the connection: %w", err)
	}
	return secured, nil
}

func (tr *Transport) dialPlain(ctx context.Context, address Address) (net.Conn, error) {
	if tr.Dial != nil {
		return tr.Dial(ctx, address)
	}
	dialer := net.Dialer{}
	return dialer.DialContext(ctx, "tcp", string(address))
}

func (tr *Transport) greet(conn net.Conn) (Hello, error) {
	remote, err := exchangeHello(conn, tr.Self)
	if err != nil {
		return Hello{}, err
	}
	secured, ok := conn.(*tls.Conn)
	if !ok || tr.Identify == nil {
		return remote, nil
	}
	return remote, tr.Identify(secured.ConnectionState(), remote)
}

func (tr *Transport) forgetWhenClosed(address Address, current *session) {
	<-current.mux.CloseChan()
	tr.forget(address, current)
}

func (tr *Transport) forget(address Address, current *session) {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	if tr.sessions[address] == current {
		delete(tr.sessions, address)
	}
}

func (tr *Transport) warn(err error, conn net.Conn) {
	if tr.Logger == nil || errors.Is(err, io.EOF) {
		return
	}
	tr.Logger.Warn().Err(err).Str("from", conn.RemoteAddr().String()).Msg("peer: connection refused")
}

func (se *session) broken() bool {
	select {
	case <-se.ready:
		return se.err != nil || se.mux.IsClosed()
	default:
		return false
	}
}

func (se *session) takeIdle(kind Kind) (*Stream, bool) {
	se.lock.Lock()
	defer se.lock.Unlock()
	idle := se.idle[kind]
	if len(idle) == 0 {
		return nil, false
	}
	stream := idle[len(idle)-1]
	se.idle[kind] = idle[:len(idle)-1]
	return stream, true
}

func (se *session) keep(stream *Stream) bool {
	se.lock.Lock()
	defer se.lock.Unlock()
	if len(se.idle[stream.kind]) >= idleStreams || se.mux.IsClosed() {
		return false
	}
	se.idle[stream.kind] = append(se.idle[stream.kind], stream)
	return true
}

func muxConfig() *yamux.Config {
	settings := yamux.DefaultConfig()
	settings.KeepAliveInterval = keepAliveInterval
	settings.ConnectionWriteTimeout = 2 * keepAliveInterval
	settings.MaxStreamWindowSize = streamWindow
	settings.StreamCloseTimeout = keepAliveInterval
	settings.LogOutput = io.Discard
	return settings
}
