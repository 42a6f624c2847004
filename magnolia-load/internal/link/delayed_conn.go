package link

import (
	"net"
	"sync"
	"time"
)

const (
	readBufferBytes = 64 << 10
	queueCapacity   = 256
)

// chunk is a part of the byte stream with the time of its delivery.
type chunk struct {
	deliverAt time.Time
	data      []byte
	err       error
}

// delayedConn delays data in both directions by a fixed latency. It preserves the
// order and the flow control of the stream: writes block while the queue is full.
type delayedConn struct {
	net.Conn
	latency   time.Duration
	outbound  chan chunk
	inbound   chan chunk
	closed    chan struct{}
	closeOnce func()

	unread chunk
}

// Delay wraps a connection so that data in each direction arrives after the
// one-way latency. Write and Close may be called concurrently with Read.
func Delay(conn net.Conn, latency time.Duration) net.Conn {
	delayed := &delayedConn{
		Conn:     conn,
		latency:  latency,
		outbound: make(chan chunk, queueCapacity),
		inbound:  make(chan chunk, queueCapacity),
		closed:   make(chan struct{}),
	}
	delayed.closeOnce = sync.OnceFunc(func() { close(delayed.closed) })
	go delayed.sendOutbound()
	go delayed.receiveInbound()
	return delayed
}

// Write queues the data without waiting for the latency; it blocks while the
// queue is full.
func (conn *delayedConn) Write(data []byte) (int, error) {
	sent := chunk{deliverAt: time.Now().Add(conn.latency), data: append([]byte(nil), data...)}
	select {
	case <-conn.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case conn.outbound <- sent:
		return len(data), nil
	case <-conn.closed:
		return 0, net.ErrClosed
	}
}

// Read returns data whose latency has passed. Only one goroutine may call it at a
// time.
func (conn *delayedConn) Read(data []byte) (int, error) {
	if len(conn.unread.data) == 0 && conn.unread.err == nil {
		select {
		case conn.unread = <-conn.inbound:
		case <-conn.closed:
			return 0, net.ErrClosed
		}
		time.Sleep(time.Until(conn.unread.deliverAt))
	}
	if len(conn.unread.data) == 0 {
		return 0, conn.unread.err
	}
	count := copy(data, conn.unread.data)
	conn.unread.data = conn.unread.data[count:]
	return count, nil
}

// Close returns at once; the connection is closed after the queued data was sent.
func (conn *delayedConn) Close() error {
	conn.closeOnce()
	return nil
}

func (conn *delayedConn) sendOutbound() {
	defer conn.Conn.Close()
	for {
		select {
		case sent := <-conn.outbound:
			if !conn.sendWhenDue(sent) {
				return
			}
		case <-conn.closed:
			conn.sendQueued()
			return
		}
	}
}

func (conn *delayedConn) sendQueued() {
	for {
		select {
		case sent := <-conn.outbound:
			if !conn.sendWhenDue(sent) {
				return
			}
		default:
			return
		}
	}
}

func (conn *delayedConn) sendWhenDue(sent chunk) bool {
	time.Sleep(time.Until(sent.deliverAt))
	_, err := conn.Conn.Write(sent.data)
	return err == nil
}

func (conn *delayedConn) receiveInbound() {
	buffer := make([]byte, readBufferBytes)
	for {
		count, err := conn.Conn.Read(buffer)
		arrived := chunk{deliverAt: time.Now().Add(conn.latency), data: append([]byte(nil), buffer[:count]...), err: err}
		select {
		case conn.inbound <- arrived:
		case <-conn.closed:
			return
		}
		if err != nil {
			return
		}
	}
}
