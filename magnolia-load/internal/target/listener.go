package target

import (
	"net"
	"sync"
	"time"
)

// limitedListener accepts at most maxConnections connections at a time and spends
// connectionCost on each; it closes a connection over the limit at once.
type limitedListener struct {
	net.Listener
	maxConnections int
	connectionCost time.Duration

	mu              sync.Mutex
	openConnections int
}

func (listener *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !listener.acquire() {
			_ = conn.Close()
			continue
		}
		time.Sleep(listener.connectionCost)
		return &limitedConn{Conn: conn, release: sync.OnceFunc(listener.release)}, nil
	}
}

func (listener *limitedListener) acquire() bool {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if listener.maxConnections > 0 && listener.openConnections >= listener.maxConnections {
		return false
	}
	listener.openConnections++
	return true
}

func (listener *limitedListener) release() {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.openConnections--
}

type limitedConn struct {
	net.Conn
	release func()
}

func (conn *limitedConn) Close() error {
	conn.release()
	return conn.Conn.Close()
}
