// Package link emulates network latency and network faults on loopback: a
// [Topology] delays connections by the distance between the places of their ends,
// and a [Proxy] disturbs the connections to one process.
//
// Both are safe for concurrent use.
//
// # Usage
//
//	topology := link.NewTopology(link.Latencies{BetweenDomains: time.Millisecond, BetweenRegions: 20 * time.Millisecond})
//	topology.SetPlace("127.0.0.1:4001", request.Place{Region: "sur", Domain: "sur-a"})
//	dial := topology.Dialer(request.Place{Region: "norte", Domain: "norte-a"})
package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Latencies are one-way latencies by the distance between two places.
type Latencies struct {
	// BetweenDomains applies between failure domains of one region.
	BetweenDomains time.Duration
	// BetweenRegions applies between regions.
	BetweenRegions time.Duration
	// CallerToEntry applies between a caller and its entry node.
	CallerToEntry time.Duration
}

// Between returns the one-way latency between two places, which is zero within a
// failure domain.
func (latencies Latencies) Between(from, to request.Place) time.Duration {
	switch {
	case from.Region != to.Region:
		return latencies.BetweenRegions
	case from.Domain != to.Domain:
		return latencies.BetweenDomains
	}
	return 0
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Topology maps addresses to places and counts the bytes between processes.
type Topology struct {
	latencies Latencies

	bytesCarried atomic.Int64

	mu     sync.RWMutex
	places map[string]request.Place
}

// NewTopology returns a topology without addresses.
func NewTopology(latencies Latencies) *Topology {
	return &Topology{latencies: latencies, places: make(map[string]request.Place)}
}

// SetPlace sets the place of an address.
func (topology *Topology) SetPlace(address string, place request.Place) {
	topology.mu.Lock()
	defer topology.mu.Unlock()
	topology.places[address] = place
}

// Dialer returns the dial function of a process at a place. Connections to an
// address without a place have no latency.
func (topology *Topology) Dialer(from request.Place) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		topology.mu.RLock()
		to, known := topology.places[address]
		topology.mu.RUnlock()
		latency := time.Duration(0)
		if known {
			latency = topology.latencies.Between(from, to)
		}
		conn, err := dialDelayed(ctx, network, address, latency)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, byteCount: &topology.bytesCarried}, nil
	}
}

// BytesCarried returns the number of bytes that the connections between processes
// have carried in both directions.
func (topology *Topology) BytesCarried() int64 { return topology.bytesCarried.Load() }

// CallerDialer returns the dial function of callers.
func (topology *Topology) CallerDialer() DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialDelayed(ctx, network, address, topology.latencies.CallerToEntry)
	}
}

func dialDelayed(ctx context.Context, network, address string, latency time.Duration) (net.Conn, error) {
	dialer := &net.Dialer{}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil || latency == 0 {
		return conn, err
	}
	return Delay(conn, latency), nil
}

// countingConn adds the bytes of both directions of a connection to a counter.
type countingConn struct {
	net.Conn
	byteCount *atomic.Int64
}

func (conn *countingConn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	conn.byteCount.Add(int64(count))
	return count, err
}

func (conn *countingConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	conn.byteCount.Add(int64(count))
	return count, err
}
