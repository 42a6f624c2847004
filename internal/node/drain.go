package node

import (
	"context"
	"time"

	"github.com/oklog/run"

	"github.com/magnoliawall/magnoliawall/internal/core/drain"
)

const (
	drainInterval = 20 * time.Millisecond
	recordLimit   = 10 * time.Second
	// stopMargin is left of the grace time for what ends after the node: its lease,
	// and connections that are still open.
	stopMargin = 700 * time.Millisecond
)

// draining tells whether the node takes no new work any more.
func (no *Node) draining() bool {
	state, _ := no.Drain.State()
	return state != drain.Running
}

// addDrain begins to drain when the context ends, and returns when no request
// is in flight any more.
func (no *Node) addDrain(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	interrupted := make(chan struct{})
	group.Add(func() error {
		<-ctx.Done()
		began := time.Now()
		no.Drain.Begin(began)
		if no.Grace > 0 {
			no.stopBy.Store(began.Add(no.Grace - stopMargin).UnixNano())
		}
		no.announceDrain()
		no.linger(interrupted)
		no.awaitEmpty(interrupted)
		no.awaitRecords(interrupted)
		return nil
	}, func(error) {
		close(interrupted)
		cancel()
	})
}

// linger goes on serving callers that have not yet seen that this node leaves.
func (no *Node) linger(interrupted <-chan struct{}) {
	select {
	case <-time.After(no.Linger):
	case <-interrupted:
	}
}

func (no *Node) awaitEmpty(interrupted <-chan struct{}) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for !no.Drain.Done(time.Now()) && !no.stopDue() {
		select {
		case <-ticker.C:
		case <-interrupted:
			return
		}
	}
}

// stopDue tells whether the process must end now to end by itself.
func (no *Node) stopDue() bool {
	by := no.stopBy.Load()
	return by != 0 && time.Now().UnixNano() >= by
}

// awaitRecords waits, for a bounded time, until the ends of all actions that
// may not be repeated are recorded.
func (no *Node) awaitRecords(interrupted <-chan struct{}) {
	if no.claims == nil {
		return
	}
	no.runs.Wait()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	limit := time.After(recordLimit)
	for no.claims.pending.Load() > 0 {
		select {
		case <-ticker.C:
		case <-limit:
			return
		case <-interrupted:
			return
		}
	}
}

// announceDrain tells the registry that the target leaves.
func (no *Node) announceDrain() {
	if no.OnDrain != nil {
		no.OnDrain()
	}
}
