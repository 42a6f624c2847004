package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/wait"
)

// Way is a direction through a proxy.
type Way uint8

// The ways.
const (
	// Inward is towards the process behind the proxy.
	Inward Way = iota
	// Outward is away from it.
	Outward
	wayCount
)

const (
	proxyBuffer  = 32 << 10
	proxyDialing = time.Second
)

// Proxy passes connections on to a process and can harm them on the way: hold back
// what goes one way or both, slow it down, reset the connections or end one half of
// them. Harms may overlap. Target is set before Serve.
type Proxy struct {
	// Target is the address of the process behind the proxy.
	Target string

	lock    sync.Mutex
	changed chan struct{}
	held    [wayCount]int
	delays  time.Duration
	pairs   map[*pair]struct{}
}

// pair is a connection to the proxy and the one to the process.
type pair struct {
	near, far *net.TCPConn
}

// Hold holds back what goes a way, on present and new connections, until Release.
func (pr *Proxy) Hold(way Way) { pr.change(func() { pr.held[way]++ }) }

// Release ends one Hold. What was held back arrives then.
func (pr *Proxy) Release(way Way) { pr.change(func() { pr.held[way]-- }) }

// Slow delays each piece by a time, until it is taken off again.
func (pr *Proxy) Slow(delay time.Duration) { pr.change(func() { pr.delays += delay }) }

// Reset breaks the present connections in a way that both ends see.
func (pr *Proxy) Reset() {
	pr.each(func(present *pair) {
		for _, conn := range []*net.TCPConn{present.near, present.far} {
			// The connection is broken all the same where this fails.
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	})
}

// HalfClose ends the present connections towards the process, as a peer that has
// nothing more to send; the other way goes on.
func (pr *Proxy) HalfClose() {
	pr.each(func(present *pair) { _ = present.far.CloseWrite() })
}

func (pr *Proxy) each(harm func(present *pair)) {
	pr.lock.Lock()
	defer pr.lock.Unlock()
	for present := range pr.pairs {
		harm(present)
	}
}

// change changes the harms and wakes what is held back.
func (pr *Proxy) change(apply func()) {
	pr.lock.Lock()
	defer pr.lock.Unlock()
	apply()
	if pr.changed != nil {
		close(pr.changed)
		pr.changed = nil
	}
}

// Serve passes connections on until the context ends.
func (pr *Proxy) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	passing := sync.WaitGroup{}
	defer passing.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		near, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept for %s: %w", pr.Target, err)
		}
		passing.Go(func() { pr.pass(ctx, near.(*net.TCPConn)) })
	}
}

// pass serves one connection. A process that does not listen resets it.
func (pr *Proxy) pass(ctx context.Context, near *net.TCPConn) {
	dialer := net.Dialer{Timeout: proxyDialing}
	far, err := dialer.DialContext(ctx, "tcp", pr.Target)
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	present := &pair{near: near, far: far.(*net.TCPConn)}
	pr.enter(present)
	defer pr.leave(present)
	ended, end := context.WithCancel(ctx)
	defer end()
	stop := context.AfterFunc(ended, func() {
		_ = present.near.Close()
		_ = present.far.Close()
	})
	defer stop()
	pumping := sync.WaitGroup{}
	pumping.Go(func() { pr.pump(ended, end, Inward, present.far, present.near) })
	pumping.Go(func() { pr.pump(ended, end, Outward, present.near, present.far) })
	pumping.Wait()
}

func (pr *Proxy) enter(present *pair) {
	pr.lock.Lock()
	defer pr.lock.Unlock()
	if pr.pairs == nil {
		pr.pairs = make(map[*pair]struct{})
	}
	pr.pairs[present] = struct{}{}
}

func (pr *Proxy) leave(present *pair) {
	pr.lock.Lock()
	defer pr.lock.Unlock()
	delete(pr.pairs, present)
}

// pump carries one way. The end of a half is passed on like what came before it; any
// other end is one of the whole connection.
func (pr *Proxy) pump(ctx context.Context, end context.CancelFunc, way Way, to, from *net.TCPConn) {
	buffer := make([]byte, proxyBuffer)
	for {
		count, err := from.Read(buffer)
		if !pr.admit(ctx, way) {
			end()
			return
		}
		if count > 0 {
			if _, failed := to.Write(buffer[:count]); failed != nil {
				end()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			end()
			return
		}
	}
}

// admit waits until a piece may go on its way.
func (pr *Proxy) admit(ctx context.Context, way Way) bool {
	for {
		pr.lock.Lock()
		held, delay := pr.held[way] > 0, pr.delays
		if held && pr.changed == nil {
			pr.changed = make(chan struct{})
		}
		changed := pr.changed
		pr.lock.Unlock()
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
