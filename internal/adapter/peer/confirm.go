package peer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// Confirm returns an error if the end of the call has arrived at this host, also if that was
// not read yet. The context of a call ends only when the goroutine that reads its stream got
// to run after the one that reads the connection; on a busy host that is later than the
// handler runs. A handler confirms a call right before a step that cannot be undone.
//
// It waits until what has arrived on the connection is read, and no longer than ctx.
func (inbound *Inbound) Confirm(ctx context.Context) error {
	stream := inbound.stream
	if stream == nil || stream.accepted == nil {
		return ctx.Err()
	}
	arrived, err := stream.accepted.arrivedSoFar()
	if err != nil {
		return err
	}
	if arrived == position(stream.readFrom.Load()) {
		return ctx.Err()
	}
	if err := stream.accepted.awaitHandled(ctx, arrived); err != nil {
		return err
	}
	return stream.probe.ask(ctx, stream, inbound.readEnded)
}

// probe is a question to the goroutine that reads a stream: whether it has read all that
// was passed on to the stream.
type probe struct {
	lock sync.Mutex
	// asked is closed by the answer. It is nil while there is no question.
	asked chan struct{}
}

// ask waits until the reader of the stream waits for more to read. It returns an error if
// ctx ends first, as it does if the reader comes to the end of the stream.
func (probe *probe) ask(ctx context.Context, stream *Stream, readEnded <-chan struct{}) error {
	asked := make(chan struct{})
	probe.lock.Lock()
	probe.asked = asked
	probe.lock.Unlock()
	// A read that waits for more fails at once, and one that finds more does not.
	if err := stream.conn.SetReadDeadline(longAgo); err != nil {
		return err
	}
	select {
	case <-asked:
	case <-readEnded:
		// The reader has read more than this call, or cancels ctx.
	case <-ctx.Done():
	}
	return ctx.Err()
}

// answer answers the question that made a read fail. It reports whether there was one, so
// that the read is to be repeated.
func (probe *probe) answer(stream *Stream, readErr error) bool {
	if !errors.Is(readErr, yamux.ErrTimeout) {
		return false
	}
	probe.lock.Lock()
	defer probe.lock.Unlock()
	if probe.asked == nil || stream.conn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	close(probe.asked)
	probe.asked = nil
	return true
}
