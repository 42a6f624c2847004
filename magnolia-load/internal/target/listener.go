package target

import (
	"net"
	"sync"
	"time"
)

// limitedListener takes at most limit connections at a time and spends cost
// on each new one; a connection over the limit is closed at once.
type limitedListener struct {
	net.Listener
	limit int
	cost  time.Duration

	mu   sync.Mutex
	open int
}

func (listener *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !listener.take() {
			_ = conn.Close()
			continue
		}
		time.Sleep(listener.cost)
		return &countedConn{Conn: conn, release: sync.OnceFunc(listener.release)}, nil
	}
}

func (listener *limitedListener) take() bool {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if listener.limit > 0 && listener.open >= listener.limit {
		return false
	}
	listener.open++
	return true
}

func (listener *limitedListener) release() {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	listener.open--
}

type countedConn struct {
	net.Conn
	release func()
}

func (conn *countedConn) Close() error {
	conn.release()
	return conn.Conn.Close()
}
