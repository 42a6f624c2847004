package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/wait"
)

// Direction is a direction of data through a proxy.
type Direction uint8

// The directions.
const (
	// ToProcess is data sent to the process behind the proxy.
	ToProcess Direction = iota
	// FromProcess is data sent by that process.
	FromProcess
	directionCount
)

const (
	copyBufferBytes = 32 << 10
	dialTimeout     = time.Second
)

// Proxy forwards TCP connections to a process and injects network faults: it holds
// back data in one or both directions, delays it, resets connections, or closes
// one half of them. Faults may overlap. The exported fields are set before Serve; all
// methods are safe for concurrent use.
type Proxy struct {
	// Target is the address of the process behind the proxy.
	Target string
	// Peers are the names of processes that connect to it. The first data on a connection
	// contains the name of the process that opened it.
	Peers []string
	// Latencies are the one-way latencies to peers by their names, and BytesPerSecond is the
	// rate of each direction of a connection. Without latencies the rate has no effect.
	Latencies      map[string]time.Duration
	BytesPerSecond int64

	lock       sync.Mutex
	changed    chan struct{}
	holdCounts [directionCount]int
	// peerHoldCounts counts the calls of HoldPeer that are in effect.
	peerHoldCounts map[string]int
	chunkDelay     time.Duration
	connections    map[*proxiedConn]struct{}
}

// proxiedConn is an accepted connection and the connection to the process that it
// is forwarded to.
type proxiedConn struct {
	client, server *net.TCPConn
	// peer is the process that opened the connection, or empty as long as it is not known.
	peer string
}

// Hold stops data in a direction, on existing and new connections, until Release.
func (proxy *Proxy) Hold(direction Direction) {
	proxy.updateFaults(func() { proxy.holdCounts[direction]++ })
}

// Release ends one Hold. After the last one the data that was held back arrives.
func (proxy *Proxy) Release(direction Direction) {
	proxy.updateFaults(func() { proxy.holdCounts[direction]-- })
}

// HoldPeer stops data in both directions, on existing and new connections that a peer
// opened, until ReleasePeer.
func (proxy *Proxy) HoldPeer(peer string) {
	proxy.updateFaults(func() {
		if proxy.peerHoldCounts == nil {
			proxy.peerHoldCounts = make(map[string]int)
		}
		proxy.peerHoldCounts[peer]++
	})
}

// ReleasePeer ends one HoldPeer. After the last one the data that was held back arrives.
func (proxy *Proxy) ReleasePeer(peer string) {
	proxy.updateFaults(func() { proxy.peerHoldCounts[peer]-- })
}

// AddDelay adds to the delay of each chunk read from a connection; a negative
// value removes an earlier delay.
func (proxy *Proxy) AddDelay(delay time.Duration) {
	proxy.updateFaults(func() { proxy.chunkDelay += delay })
}

// ResetConnections resets the existing connections, which both ends see as an
// error.
func (proxy *Proxy) ResetConnections() {
	proxy.forEachConnection(func(conn *proxiedConn) {
		for _, end := range []*net.TCPConn{conn.client, conn.server} {
			// Ignored: Close ends the connection even if SetLinger fails.
			_ = end.SetLinger(0)
			_ = end.Close()
		}
	})
}

// CloseWriteToProcess closes the existing connections for writing towards the
// process, as a client does that has nothing more to send. Data from the process
// still arrives.
func (proxy *Proxy) CloseWriteToProcess() {
	proxy.forEachConnection(func(conn *proxiedConn) { _ = conn.server.CloseWrite() })
}

func (proxy *Proxy) forEachConnection(inject func(conn *proxiedConn)) {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	for conn := range proxy.connections {
		inject(conn)
	}
}

// updateFaults applies a change of the faults and wakes the goroutines that hold
// back data.
func (proxy *Proxy) updateFaults(apply func()) {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	apply()
	if proxy.changed != nil {
		close(proxy.changed)
		proxy.changed = nil
	}
}

// Serve forwards connections until the context ends. It closes the listener.
func (proxy *Proxy) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	connections := sync.WaitGroup{}
	defer connections.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		client, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accepting a connection for %s: %w", proxy.Target, err)
		}
		connections.Go(func() { proxy.serveConnection(ctx, client.(*net.TCPConn)) })
	}
}

// serveConnection forwards one connection. It resets the client's connection if
// the process does not accept one.
func (proxy *Proxy) serveConnection(ctx context.Context, client *net.TCPConn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	server, err := dialer.DialContext(ctx, "tcp", proxy.Target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	conn := &proxiedConn{client: client, server: server.(*net.TCPConn)}
	proxy.addConnection(conn)
	defer proxy.removeConnection(conn)
	ended, end := context.WithCancel(ctx)
	defer end()
	stop := context.AfterFunc(ended, func() {
		_ = conn.client.Close()
		_ = conn.server.Close()
	})
	defer stop()
	copying := sync.WaitGroup{}
	copying.Go(func() { proxy.copyDirection(ended, end, ToProcess, conn, conn.server, conn.client) })
	copying.Go(func() { proxy.copyDirection(ended, end, FromProcess, conn, conn.client, conn.server) })
	copying.Wait()
}

func (proxy *Proxy) addConnection(conn *proxiedConn) {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	if proxy.connections == nil {
		proxy.connections = make(map[*proxiedConn]struct{})
	}
	proxy.connections[conn] = struct{}{}
}

func (proxy *Proxy) removeConnection(conn *proxiedConn) {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	delete(proxy.connections, conn)
}

// copyDirection copies one direction. It forwards an end of stream after the data
// before it; any other error ends the whole connection.
func (proxy *Proxy) copyDirection(ctx context.Context, end context.CancelFunc, direction Direction, conn *proxiedConn, to, from *net.TCPConn) {
	buffer := make([]byte, copyBufferBytes)
	write, finish := to.Write, to.CloseWrite
	if proxy.Latencies != nil {
		line := newDelayLine(ctx, to, proxy.BytesPerSecond)
		write = func(data []byte) (int, error) { return len(data), line.Write(data, proxy.latencyOf(conn)) }
		finish = func() error { return errors.Join(line.Close(), to.CloseWrite()) }
	}
	for {
		count, err := from.Read(buffer)
		if direction == ToProcess {
			proxy.identifyPeer(conn, buffer[:count])
		}
		if !proxy.waitUntilReleased(ctx, direction, conn) {
			end()
			return
		}
		if count > 0 {
			if _, failed := write(buffer[:count]); failed != nil {
				end()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = finish()
			return
		}
		if err != nil {
			end()
			return
		}
	}
}

// identifyPeer finds out from the first data on a connection which peer opened it.
func (proxy *Proxy) identifyPeer(conn *proxiedConn, data []byte) {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	if conn.peer != "" {
		return
	}
	for _, peer := range proxy.Peers {
		if bytes.Contains(data, []byte(peer)) {
			conn.peer = peer
			return
		}
	}
}

// latencyOf returns the latency of a connection.
func (proxy *Proxy) latencyOf(conn *proxiedConn) time.Duration {
	proxy.lock.Lock()
	defer proxy.lock.Unlock()
	return proxy.Latencies[conn.peer]
}

// waitUntilReleased waits until no Hold applies to the direction and the delay has
// passed. It returns false if the context ended first.
func (proxy *Proxy) waitUntilReleased(ctx context.Context, direction Direction, conn *proxiedConn) bool {
	for {
		proxy.lock.Lock()
		held, delay := proxy.holdCounts[direction] > 0 || proxy.peerHoldCounts[conn.peer] > 0, proxy.chunkDelay
		if held && proxy.changed == nil {
			proxy.changed = make(chan struct{})
		}
		changed := proxy.changed
		proxy.lock.Unlock()
		if !held {
			return delay == 0 || wait.For(ctx, delay)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
