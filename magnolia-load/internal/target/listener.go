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

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.take() {
			_ = conn.Close()
			continue
		}
		time.Sleep(l.cost)
		return &countedConn{Conn: conn, release: sync.OnceFunc(l.release)}, nil
	}
}

func (l *limitedListener) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

func (l *limitedListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

type countedConn struct {
	net.Conn
	release func()
}

func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
