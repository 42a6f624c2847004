package host_test

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// direction is one direction between two failure domains.
type direction struct{ from, to request.DomainName }

// faultyNetwork carries the connections between hosts. Data in a blocked direction
// is neither delivered nor refused; it waits until the network heals, like data
// that TCP retransmits.
type faultyNetwork struct {
	lock    sync.Mutex
	changed *sync.Cond
	blocked map[direction]bool
	domains map[string]request.DomainName
	closed  bool
}

func newFaultyNetwork(t *testing.T) *faultyNetwork {
	network := &faultyNetwork{blocked: map[direction]bool{}, domains: map[string]request.DomainName{}}
	network.changed = sync.NewCond(&network.lock)
	t.Cleanup(func() {
		network.update(func() { network.closed = true })
	})
	return network
}

func (network *faultyNetwork) update(change func()) {
	network.lock.Lock()
	defer network.lock.Unlock()
	change()
	network.changed.Broadcast()
}

// block silently blocks the direction from some domains to others.
func (network *faultyNetwork) block(from, to []request.DomainName) {
	network.update(func() {
		for _, one := range from {
			for _, other := range to {
				network.blocked[direction{one, other}] = true
			}
		}
	})
}

// partition silently blocks both directions between some domains and others.
func (network *faultyNetwork) partition(some, others []request.DomainName) {
	network.block(some, others)
	network.block(others, some)
}

func (network *faultyNetwork) heal() {
	network.update(func() { clear(network.blocked) })
}

func (network *faultyNetwork) awaitOpen(wanted direction) {
	network.lock.Lock()
	defer network.lock.Unlock()
	for network.blocked[wanted] && !network.closed {
		network.changed.Wait()
	}
}

func (network *faultyNetwork) isOpen(wanted direction) bool {
	network.lock.Lock()
	defer network.lock.Unlock()
	return !network.blocked[wanted]
}

// dialer gives the dial function of a host. A dial in a blocked direction gets no
// answer.
func (network *faultyNetwork) dialer(from request.DomainName) func(context.Context, peer.Address) (net.Conn, error) {
	return func(ctx context.Context, address peer.Address) (net.Conn, error) {
		numeric, _, err := net.SplitHostPort(string(address))
		if err != nil {
			return nil, err
		}
		there := direction{from, network.domains[numeric]}
		back := direction{there.to, from}
		if !network.isOpen(there) || !network.isOpen(back) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		dialer := net.Dialer{}
		far, err := dialer.DialContext(ctx, "tcp", string(address))
		if err != nil {
			return nil, err
		}
		near, relay, err := loopbackPair()
		if err != nil {
			_ = far.Close()
			return nil, err
		}
		go network.forward(relay, far, there)
		go network.forward(far, relay, back)
		return near, nil
	}
}

func (network *faultyNetwork) forward(from, to net.Conn, along direction) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		network.awaitOpen(along)
		if _, writeErr := to.Write(buffer[:count]); err != nil || writeErr != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// loopbackPair gives the two ends of a loopback connection.
func loopbackPair() (near, far net.Conn, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = listener.Close() }()
	near, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	far, err = listener.Accept()
	return near, far, err
}
