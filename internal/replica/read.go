package replica

import (
	"context"
	"sync/atomic"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/port"
)

// The states of a view. Once it is running, its caller waits for its end.
const (
	viewWaiting int32 = iota
	viewRunning
	viewAbandoned
)

// stateView is a function to call with the state.
type stateView[M Machine] struct {
	call  func(M)
	state atomic.Int32
	done  chan struct{}
}

func (view *stateView[M]) run(machine M) {
	if view.state.CompareAndSwap(viewWaiting, viewRunning) {
		view.call(machine)
		close(view.done)
	}
}

// readGroup is the views that share one read of the log.
type readGroup[M Machine] struct {
	views       []*stateView[M]
	index       quorum.Index
	granted     bool
	waitedTicks int
}

// readQueue holds the waiting views: pending ones for the next read, and refused ones
// until the next tick.
type readQueue[M Machine] struct {
	pending []*stateView[M]
	retries []*stateView[M]
	groups  map[quorum.RequestID]*readGroup[M]
}

func (queue *readQueue[M]) tick(timeoutTicks int) {
	for request, group := range queue.groups {
		group.waitedTicks++
		if !group.granted && group.waitedTicks >= timeoutTicks {
			queue.retryLater(request, group)
		}
	}
	queue.pending = append(queue.pending, queue.retries...)
	queue.retries = nil
}

func (queue *readQueue[M]) retryLater(request quorum.RequestID, group *readGroup[M]) {
	delete(queue.groups, request)
	for _, view := range group.views {
		if view.state.Load() == viewWaiting {
			queue.retries = append(queue.retries, view)
		}
	}
}

// Read calls a function with a state that holds every command recorded before Read
// was called. The replica's goroutine makes the call, so the function must be short
// and must not keep references to the machine. Without a quorum Read waits until
// the context ends and returns [port.ErrUnavailable].
func (replica *Replica[M]) Read(ctx context.Context, call func(M)) error {
	view := &stateView[M]{call: call, done: make(chan struct{})}
	return replica.awaitView(ctx, view, func() {
		replica.reads.pending = append(replica.reads.pending, view)
	})
}

// Peek calls a function with the local state, which may lag behind. The rules of
// [Replica.Read] for the function hold here too.
func (replica *Replica[M]) Peek(ctx context.Context, call func(M)) error {
	view := &stateView[M]{call: call, done: make(chan struct{})}
	return replica.awaitView(ctx, view, func() { view.run(replica.Machine) })
}

func (replica *Replica[M]) awaitView(ctx context.Context, view *stateView[M], request func()) error {
	replica.init()
	if err := replica.enqueue(ctx, request); err != nil {
		return wrapUnavailable(err)
	}
	select {
	case <-view.done:
		return nil
	case <-ctx.Done():
	case <-replica.stopped:
	}
	if view.state.CompareAndSwap(viewWaiting, viewAbandoned) {
		return port.ErrUnavailable
	}
	<-view.done
	return nil
}

// startReads starts one read of the log for all pending views.
func (replica *Replica[M]) startReads() {
	if len(replica.reads.pending) == 0 {
		return
	}
	request := quorum.RequestID(replica.nextNumber())
	replica.reads.groups[request] = &readGroup[M]{views: replica.reads.pending}
	replica.reads.pending = nil
	replica.core.ReadIndex(request)
}

func (replica *Replica[M]) handleReadResults(results []quorum.ReadResult) {
	for _, result := range results {
		group, ok := replica.reads.groups[result.Request]
		switch {
		case !ok:
		case result.Granted:
			group.granted = true
			group.index = result.Index
		default:
			replica.reads.retryLater(result.Request, group)
		}
	}
}

// runGrantedReads runs the views whose read index has been applied.
func (replica *Replica[M]) runGrantedReads() {
	for request, group := range replica.reads.groups {
		if !group.granted || group.index > replica.appliedIndex {
			continue
		}
		delete(replica.reads.groups, request)
		for _, view := range group.views {
			view.run(replica.Machine)
		}
	}
}
