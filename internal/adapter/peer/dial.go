package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"

	"github.com/hashicorp/yamux"
)

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
	return dialTCP(ctx, address)
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
