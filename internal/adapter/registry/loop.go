package registry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	shortestPause = 100 * time.Millisecond
	longestPause  = 5 * time.Second
)

// loop runs all changes of control state on one goroutine.
type loop struct {
	once    sync.Once
	actions chan func(now time.Time)
	done    chan struct{}
}

func (l *loop) prepare() {
	l.once.Do(func() {
		l.actions = make(chan func(time.Time))
		l.done = make(chan struct{})
	})
}

func (l *loop) run(ctx context.Context, clock func() time.Time, ticks <-chan time.Time, tick func(now time.Time)) error {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return nil
		case action := <-l.actions:
			action(clock())
		case <-ticks:
			tick(clock())
		}
	}
}

// do runs the action on the loop's goroutine and waits for it.
func (l *loop) do(ctx context.Context, action func(now time.Time)) error {
	ran := make(chan struct{})
	wrapped := func(now time.Time) {
		defer close(ran)
		action(now)
	}
	select {
	case l.actions <- wrapped:
	case <-l.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	<-ran
	return nil
}

// backoff doubles the pause after each failure and spreads it at random, so
// that processes which lost the same replica don't return together.
type backoff struct {
	pause time.Duration
}

func (b *backoff) next(random *rand.Rand) time.Duration {
	b.pause = min(max(2*b.pause, shortestPause), longestPause)
	return b.pause/2 + time.Duration(random.Int64N(int64(b.pause)))
}

func (b *backoff) reset() {
	b.pause = 0
}

func setClock(clock *func() time.Time, random **rand.Rand) {
	if *clock == nil {
		*clock = time.Now
	}
	if *random == nil {
		*random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

func tickerOf(ticks <-chan time.Time) (<-chan time.Time, func()) {
	if ticks != nil {
		return ticks, func() {}
	}
	ticker := time.NewTicker(TickInterval)
	return ticker.C, ticker.Stop
}
