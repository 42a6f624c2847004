// Package link puts the latency between two places on the connections of a
// process, so that a mesh on loopback has the distances of the real one.
//
// # Usage
//
//	links := link.NewMap(link.Latencies{Domains: time.Millisecond, Regions: 20 * time.Millisecond})
//	links.Put("127.0.0.1:4001", request.Place{Region: "sur", Domain: "sur-a"})
//	dial := links.Dialer(request.Place{Region: "norte", Domain: "norte-a"})
package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Latencies are the one-way latencies of the brief.
type Latencies struct {
	// Domains is the latency between failure domains of one region.
	Domains time.Duration
	// Regions is the latency between regions.
	Regions time.Duration
	// Callers is the latency between a caller and its entry node.
	Callers time.Duration
}

// Between gives the one-way latency between two places.
func (latencies Latencies) Between(from, to request.Place) time.Duration {
	switch {
	case from.Region != to.Region:
		return latencies.Regions
	case from.Domain != to.Domain:
		return latencies.Domains
	}
	return 0
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Map knows the place behind each address.
type Map struct {
	latencies Latencies

	carried atomic.Int64

	mu     sync.RWMutex
	places map[string]request.Place
}

// NewMap gives a map without addresses.
func NewMap(latencies Latencies) *Map {
	return &Map{latencies: latencies, places: make(map[string]request.Place)}
}

// Put tells the place of an address.
func (m *Map) Put(address string, place request.Place) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.places[address] = place
}

// Dialer gives the dial of a process at a place. An address without a place
// has no latency.
func (m *Map) Dialer(from request.Place) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		m.mu.RLock()
		to, known := m.places[address]
		m.mu.RUnlock()
		latency := time.Duration(0)
		if known {
			latency = m.latencies.Between(from, to)
		}
		conn, err := dialDelayed(ctx, network, address, latency)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, carried: &m.carried}, nil
	}
}

// Carried is the number of bytes that the connections between processes have
// carried both ways.
func (m *Map) Carried() int64 { return m.carried.Load() }

// CallerDialer gives the dial of a caller.
func (m *Map) CallerDialer() Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialDelayed(ctx, network, address, m.latencies.Callers)
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

// countedConn counts what a connection carries both ways.
type countedConn struct {
	net.Conn
	carried *atomic.Int64
}

// Read counts what arrived.
func (conn *countedConn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	conn.carried.Add(int64(count))
	return count, err
}

// Write counts what was sent.
func (conn *countedConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	conn.carried.Add(int64(count))
	return count, err
}
