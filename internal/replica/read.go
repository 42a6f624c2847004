package replica

import (
	"context"
	"sync/atomic"

	"github.com/magnoliawall/magnoliawall/internal/core/quorum"
	"github.com/magnoliawall/magnoliawall/internal/port"
)

// The states of a look. Once it runs, its caller waits for its end.
const (
	lookWaits int32 = iota
	lookRuns
	lookAbandoned
)

// look is a function that is called on the state.
type look[M Machine] struct {
	call  func(M)
	state atomic.Int32
	done  chan struct{}
}

func (asked *look[M]) run(machine M) {
	if asked.state.CompareAndSwap(lookWaits, lookRuns) {
		asked.call(machine)
		close(asked.done)
	}
}

// readGroup is the looks that share one read of the log.
type readGroup[M Machine] struct {
	looks   []*look[M]
	index   quorum.Index
	granted bool
	waited  int
}

// readers keeps the looks that wait: fresh ones for the next read, refused ones
// for the next tick.
type readers[M Machine] struct {
	fresh   []*look[M]
	refused []*look[M]
	groups  map[quorum.RequestID]*readGroup[M]
}

func (reads *readers[M]) tick(patience int) {
	for request, group := range reads.groups {
		group.waited++
		if !group.granted && group.waited >= patience {
			reads.refuse(request, group)
		}
	}
	reads.fresh = append(reads.fresh, reads.refused...)
	reads.refused = nil
}

func (reads *readers[M]) refuse(request quorum.RequestID, group *readGroup[M]) {
	delete(reads.groups, request)
	for _, asked := range group.looks {
		if asked.state.Load() == lookWaits {
			reads.refused = append(reads.refused, asked)
		}
	}
}

// Read calls look on a state that holds every command that was recorded before
// Read was called. The call is made by the replica's goroutine: it must be
// short and must keep nothing of the machine. Without a quorum Read waits until
// the context ends and gives [port.ErrUnavailable].
func (replica *Replica[M]) Read(ctx context.Context, call func(M)) error {
	asked := &look[M]{call: call, done: make(chan struct{})}
	return replica.await(ctx, asked, func() {
		replica.reads.fresh = append(replica.reads.fresh, asked)
	})
}

// Peek calls look on the state as it is here, which may be behind.
func (replica *Replica[M]) Peek(ctx context.Context, call func(M)) error {
	asked := &look[M]{call: call, done: make(chan struct{})}
	return replica.await(ctx, asked, func() { asked.run(replica.Machine) })
}

func (replica *Replica[M]) await(ctx context.Context, asked *look[M], request func()) error {
	replica.init()
	if err := replica.ask(ctx, request); err != nil {
		return unavailable(err)
	}
	select {
	case <-asked.done:
		return nil
	case <-ctx.Done():
	case <-replica.stopped:
	}
	if asked.state.CompareAndSwap(lookWaits, lookAbandoned) {
		return port.ErrUnavailable
	}
	<-asked.done
	return nil
}

// startReads opens one read of the log for all fresh looks.
func (replica *Replica[M]) startReads() {
	if len(replica.reads.fresh) == 0 {
		return
	}
	request := quorum.RequestID(replica.nextNumber())
	replica.reads.groups[request] = &readGroup[M]{looks: replica.reads.fresh}
	replica.reads.fresh = nil
	replica.core.ReadIndex(request)
}

func (replica *Replica[M]) noteReads(results []quorum.ReadResult) {
	for _, result := range results {
		group, ok := replica.reads.groups[result.Request]
		switch {
		case !ok:
		case result.Granted:
			group.granted = true
			group.index = result.Index
		default:
			replica.reads.refuse(result.Request, group)
		}
	}
}

// runReads calls the looks whose state is reached.
func (replica *Replica[M]) runReads() {
	for request, group := range replica.reads.groups {
		if !group.granted || group.index > replica.applied {
			continue
		}
		delete(replica.reads.groups, request)
		for _, asked := range group.looks {
			asked.run(replica.Machine)
		}
	}
}
