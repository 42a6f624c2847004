package link

import (
	"context"
	"io"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/wait"
)

// lineCapacity bounds the chunks that are under way on a line.
const lineCapacity = 64

// delayLine writes data in its order, after a latency and at a rate. Unlike a pause before
// each write it lets data follow other data that is still under way. Only one goroutine may
// call Write and Close.
type delayLine struct {
	bytesPerSecond int64
	queue          chan chunk
	// ended is closed when nothing is written any more; failure is set before.
	ended   chan struct{}
	failure error
	// idleAt is when the line has carried all data.
	idleAt time.Time
}

// newDelayLine returns a line to a writer. It writes until Close, the end of the context or
// the first error. A rate of zero bytes per second is unlimited.
func newDelayLine(ctx context.Context, to io.Writer, bytesPerSecond int64) *delayLine {
	line := &delayLine{bytesPerSecond: bytesPerSecond, queue: make(chan chunk, lineCapacity), ended: make(chan struct{})}
	go line.run(ctx, to)
	return line
}

func (line *delayLine) run(ctx context.Context, to io.Writer) {
	defer close(line.ended)
	for sent := range line.queue {
		if !wait.For(ctx, time.Until(sent.deliverAt)) {
			line.failure = ctx.Err()
			return
		}
		if _, line.failure = to.Write(sent.data); line.failure != nil {
			return
		}
	}
}

// Write queues data, and waits while too much is under way. It returns an error once data
// could not be written.
func (line *delayLine) Write(data []byte, latency time.Duration) error {
	if now := time.Now(); line.idleAt.Before(now) {
		line.idleAt = now
	}
	if line.bytesPerSecond > 0 {
		line.idleAt = line.idleAt.Add(time.Duration(int64(len(data)) * int64(time.Second) / line.bytesPerSecond))
	}
	select {
	case line.queue <- chunk{deliverAt: line.idleAt.Add(latency), data: append([]byte(nil), data...)}:
		return nil
	case <-line.ended:
		return line.failure
	}
}

// Close waits until all data is written, or could not be.
func (line *delayLine) Close() error {
	close(line.queue)
	<-line.ended
	return line.failure
}
