package registry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// loop is an event loop that runs actions and ticks on one goroutine.
type loop struct {
	once    sync.Once
	actions chan func(now time.Time)
	done    chan struct{}
}

func (loop *loop) prepare() {
	loop.once.Do(func() {
		loop.actions = make(chan func(time.Time))
		loop.done = make(chan struct{})
	})
}

func (loop *loop) run(ctx context.Context, clock func() time.Time, ticks <-chan time.Time, tick func(now time.Time)) error {
	defer close(loop.done)
	for {
		select {
		case <-ctx.Done():
			return nil
		case action := <-loop.actions:
			action(clock())
		case <-ticks:
			tick(clock())
		}
	}
}

// do runs action on the loop's goroutine and waits for it to return.
func (loop *loop) do(ctx context.Context, action func(now time.Time)) error {
	finished := make(chan struct{})
	wrapped := func(now time.Time) {
		defer close(finished)
		action(now)
	}
	select {
	case loop.actions <- wrapped:
	case <-loop.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	<-finished
	return nil
}

// backoff doubles the delay after each failure and adds jitter, so that processes
// that lost the same replica don't reconnect at the same time.
type backoff struct {
	delay time.Duration
}

func (backoff *backoff) next(random *rand.Rand) time.Duration {
	backoff.delay = min(max(2*backoff.delay, minBackoff), maxBackoff)
	return backoff.delay/2 + time.Duration(random.Int64N(int64(backoff.delay)))
}

func (backoff *backoff) reset() {
	backoff.delay = 0
}

func setClockDefaults(clock *func() time.Time, random **rand.Rand) {
	if *clock == nil {
		*clock = time.Now
	}
	if *random == nil {
		*random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

func newTicker(ticks <-chan time.Time) (<-chan time.Time, func()) {
	if ticks != nil {
		return ticks, func() {}
	}
	ticker := time.NewTicker(TickInterval)
	return ticker.C, ticker.Stop
}
