package link

import (
	"net"
	"sync"
	"time"
)

const (
	packetSize  = 64 << 10
	packetQueue = 256
)

// packet is a piece of the byte stream and when it arrives.
type packet struct {
	due  time.Time
	data []byte
	err  error
}

// delayedConn holds back what passes either way by a fixed latency. Order and
// flow control stay those of a byte stream.
type delayedConn struct {
	net.Conn
	latency time.Duration
	out     chan packet
	in      chan packet
	closed  chan struct{}
	close   func()

	current packet
}

// Delay puts a one-way latency on both directions of a connection.
func Delay(conn net.Conn, latency time.Duration) net.Conn {
	delayed := &delayedConn{
		Conn:    conn,
		latency: latency,
		out:     make(chan packet, packetQueue),
		in:      make(chan packet, packetQueue),
		closed:  make(chan struct{}),
	}
	delayed.close = sync.OnceFunc(func() { close(delayed.closed) })
	go delayed.pumpOut()
	go delayed.pumpIn()
	return delayed
}

// Write takes the data at once unless too much is under way.
func (conn *delayedConn) Write(data []byte) (int, error) {
	sent := packet{due: time.Now().Add(conn.latency), data: append([]byte(nil), data...)}
	select {
	case <-conn.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case conn.out <- sent:
		return len(data), nil
	case <-conn.closed:
		return 0, net.ErrClosed
	}
}

// Read gives data that has arrived. It is called by one goroutine at a time.
func (conn *delayedConn) Read(data []byte) (int, error) {
	if len(conn.current.data) == 0 && conn.current.err == nil {
		select {
		case conn.current = <-conn.in:
		case <-conn.closed:
			return 0, net.ErrClosed
		}
		time.Sleep(time.Until(conn.current.due))
	}
	if len(conn.current.data) == 0 {
		return 0, conn.current.err
	}
	count := copy(data, conn.current.data)
	conn.current.data = conn.current.data[count:]
	return count, nil
}

// Close lets what was written arrive and then closes the connection.
func (conn *delayedConn) Close() error {
	conn.close()
	return nil
}

func (conn *delayedConn) pumpOut() {
	defer conn.Conn.Close()
	for {
		select {
		case sent := <-conn.out:
			if !conn.deliver(sent) {
				return
			}
		case <-conn.closed:
			conn.flush()
			return
		}
	}
}

func (conn *delayedConn) flush() {
	for {
		select {
		case sent := <-conn.out:
			if !conn.deliver(sent) {
				return
			}
		default:
			return
		}
	}
}

func (conn *delayedConn) deliver(sent packet) bool {
	time.Sleep(time.Until(sent.due))
	_, err := conn.Conn.Write(sent.data)
	return err == nil
}

func (conn *delayedConn) pumpIn() {
	buffer := make([]byte, packetSize)
	for {
		count, err := conn.Conn.Read(buffer)
		arrived := packet{due: time.Now().Add(conn.latency), data: append([]byte(nil), buffer[:count]...), err: err}
		select {
		case conn.in <- arrived:
		case <-conn.closed:
			return
		}
		if err != nil {
			return
		}
	}
}
