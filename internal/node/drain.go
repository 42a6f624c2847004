package node

import (
	"context"
	"time"

	"github.com/oklog/run"

	"github.com/magnoliawall/magnoliawall/internal/core/drain"
)

const drainInterval = 20 * time.Millisecond

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
		no.Drain.Begin(time.Now())
		no.announceDrain()
		no.awaitEmpty(interrupted)
		return nil
	}, func(error) {
		close(interrupted)
		cancel()
	})
}

func (no *Node) awaitEmpty(interrupted <-chan struct{}) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for !no.Drain.Done(time.Now()) {
		select {
		case <-ticker.C:
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
