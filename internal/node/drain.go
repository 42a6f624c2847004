package node

import (
	"context"
	"sync"

	"github.com/oklog/run"
)

// drainer counts the calls at work here and tells when the last one ended
// after the node began to drain.
type drainer struct {
	lock    sync.Mutex
	calls   int
	leaving bool
	empty   chan struct{}
}

// enter counts a call in, unless the node drains.
func (dr *drainer) enter() bool {
	dr.lock.Lock()
	defer dr.lock.Unlock()
	if dr.leaving {
		return false
	}
	dr.calls++
	return true
}

func (dr *drainer) leave() {
	dr.lock.Lock()
	defer dr.lock.Unlock()
	dr.calls--
	dr.closeWhenEmpty()
}

func (dr *drainer) closeWhenEmpty() {
	if dr.leaving && dr.calls == 0 && dr.empty != nil {
		close(dr.empty)
		dr.empty = nil
	}
}

func (dr *drainer) draining() bool {
	dr.lock.Lock()
	defer dr.lock.Unlock()
	return dr.leaving
}

// begin starts to drain; the channel closes when no call is left.
func (dr *drainer) begin() <-chan struct{} {
	dr.lock.Lock()
	defer dr.lock.Unlock()
	dr.leaving = true
	empty := make(chan struct{})
	dr.empty = empty
	dr.closeWhenEmpty()
	return empty
}

func (no *Node) addDrain(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-ctx.Done()
		<-no.drain.begin()
		return nil
	}, func(error) { cancel() })
}
