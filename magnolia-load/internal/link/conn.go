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
func (d *delayedConn) Write(data []byte) (int, error) {
	sent := packet{due: time.Now().Add(d.latency), data: append([]byte(nil), data...)}
	select {
	case <-d.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case d.out <- sent:
		return len(data), nil
	case <-d.closed:
		return 0, net.ErrClosed
	}
}

// Read gives data that has arrived. It is called by one goroutine at a time.
func (d *delayedConn) Read(data []byte) (int, error) {
	if len(d.current.data) == 0 && d.current.err == nil {
		select {
		case d.current = <-d.in:
		case <-d.closed:
			return 0, net.ErrClosed
		}
		time.Sleep(time.Until(d.current.due))
	}
	if len(d.current.data) == 0 {
		return 0, d.current.err
	}
	count := copy(data, d.current.data)
	d.current.data = d.current.data[count:]
	return count, nil
}

// Close lets what was written arrive and then closes the connection.
func (d *delayedConn) Close() error {
	d.close()
	return nil
}

func (d *delayedConn) pumpOut() {
	defer d.Conn.Close()
	for {
		select {
		case sent := <-d.out:
			if !d.deliver(sent) {
				return
			}
		case <-d.closed:
			d.flush()
			return
		}
	}
}

func (d *delayedConn) flush() {
	for {
		select {
		case sent := <-d.out:
			if !d.deliver(sent) {
				return
			}
		default:
			return
		}
	}
}

func (d *delayedConn) deliver(sent packet) bool {
	time.Sleep(time.Until(sent.due))
	_, err := d.Conn.Write(sent.data)
	return err == nil
}

func (d *delayedConn) pumpIn() {
	buffer := make([]byte, packetSize)
	for {
		count, err := d.Conn.Read(buffer)
		arrived := packet{due: time.Now().Add(d.latency), data: append([]byte(nil), buffer[:count]...), err: err}
		select {
		case d.in <- arrived:
		case <-d.closed:
			return
		}
		if err != nil {
			return
		}
	}
}
