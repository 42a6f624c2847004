package host_test

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// way is one direction between two failure domains.
type way struct{ from, to request.DomainName }

// network carries the connections between hosts. What goes a way that is cut
// is neither delivered nor refused: it waits until the way is healed, as bytes
// wait that TCP sends again.
type network struct {
	lock    sync.Mutex
	changed *sync.Cond
	cuts    map[way]bool
	domains map[string]request.DomainName
	closed  bool
}

func newNetwork(t *testing.T) *network {
	ne := &network{cuts: map[way]bool{}, domains: map[string]request.DomainName{}}
	ne.changed = sync.NewCond(&ne.lock)
	t.Cleanup(func() {
		ne.set(func() { ne.closed = true })
	})
	return ne
}

func (ne *network) set(change func()) {
	ne.lock.Lock()
	defer ne.lock.Unlock()
	change()
	ne.changed.Broadcast()
}

// cut silently cuts what goes from some domains to others.
func (ne *network) cut(from, to []request.DomainName) {
	ne.set(func() {
		for _, one := range from {
			for _, other := range to {
				ne.cuts[way{one, other}] = true
			}
		}
	})
}

// part silently cuts some domains from others, both ways.
func (ne *network) part(some, others []request.DomainName) {
	ne.cut(some, others)
	ne.cut(others, some)
}

func (ne *network) heal() {
	ne.set(func() { clear(ne.cuts) })
}

func (ne *network) await(wanted way) {
	ne.lock.Lock()
	defer ne.lock.Unlock()
	for ne.cuts[wanted] && !ne.closed {
		ne.changed.Wait()
	}
}

func (ne *network) open(wanted way) bool {
	ne.lock.Lock()
	defer ne.lock.Unlock()
	return !ne.cuts[wanted]
}

// dialer gives the dial function of a host. A dial over a cut way gets no answer.
func (ne *network) dialer(from request.DomainName) func(context.Context, peer.Address) (net.Conn, error) {
	return func(ctx context.Context, address peer.Address) (net.Conn, error) {
		numeric, _, err := net.SplitHostPort(string(address))
		if err != nil {
			return nil, err
		}
		there := way{from, ne.domains[numeric]}
		back := way{there.to, from}
		if !ne.open(there) || !ne.open(back) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		dialer := net.Dialer{}
		far, err := dialer.DialContext(ctx, "tcp", string(address))
		if err != nil {
			return nil, err
		}
		near, carried, err := pair()
		if err != nil {
			_ = far.Close()
			return nil, err
		}
		go ne.carry(carried, far, there)
		go ne.carry(far, carried, back)
		return near, nil
	}
}

func (ne *network) carry(from, to net.Conn, along way) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		ne.await(along)
		if _, writeErr := to.Write(buffer[:count]); err != nil || writeErr != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// pair gives the two ends of one loopback connection.
func pair() (near, far net.Conn, err error) {
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
