package peer

import (
	"context"
	"net"
	"sync"

	"github.com/magnoliawall/magnoliawall/internal/adapter/socket"
	"github.com/magnoliawall/magnoliawall/internal/core/transit"
)

// acceptedConn is a connection that a peer has opened, below TLS. It follows how much of
// what arrived was passed on: yamux starts a read only after it has passed on to the streams
// all that it read before.
type acceptedConn struct {
	net.Conn
	transit transit.Monitor

	lock sync.Mutex
	// received counts the bytes that were read, and handled those that were passed on.
	received, handled position
	// failed says that nothing more can be read.
	failed bool
	// progress is closed when handled or failed changes. It is nil while nobody waits.
	progress chan struct{}
}

// Read reads from the connection.
func (accepted *acceptedConn) Read(data []byte) (int, error) {
	accepted.beginRead()
	count, err := accepted.Conn.Read(data)
	accepted.endRead(count, err)
	return count, err
}

func (accepted *acceptedConn) beginRead() {
	accepted.lock.Lock()
	defer accepted.lock.Unlock()
	accepted.handled = accepted.received
	accepted.wake()
}

func (accepted *acceptedConn) endRead(count int, err error) {
	accepted.lock.Lock()
	defer accepted.lock.Unlock()
	accepted.received += position(count)
	if err != nil {
		accepted.failed = true
		accepted.wake()
	}
}

// wake lets waiting calls look again. The lock is held.
func (accepted *acceptedConn) wake() {
	if accepted.progress != nil {
		close(accepted.progress)
		accepted.progress = nil
	}
}

// position is a number of bytes that a connection has received.
type position uint64

// handledSoFar returns the bytes that were passed on to the streams.
func (accepted *acceptedConn) handledSoFar() position {
	accepted.lock.Lock()
	defer accepted.lock.Unlock()
	return accepted.handled
}

// arrivedSoFar returns the bytes that have arrived, also those that were not read yet. It
// returns an error if the connection is closed.
func (accepted *acceptedConn) arrivedSoFar() (position, error) {
	for before := accepted.receivedSoFar(); ; {
		unread, err := socket.Unread(accepted.Conn)
		received := accepted.receivedSoFar()
		if err != nil || received == before {
			return received + position(unread), err
		}
		// Bytes that were read meanwhile may be among the unread ones.
		before = received
	}
}

func (accepted *acceptedConn) receivedSoFar() position {
	accepted.lock.Lock()
	defer accepted.lock.Unlock()
	return accepted.received
}

// awaitHandled waits until the bytes up to a position were passed on to the streams, or can
// no longer be. It returns an error if ctx ends first.
func (accepted *acceptedConn) awaitHandled(ctx context.Context, arrived position) error {
	for {
		progress := accepted.progressUntil(arrived)
		if progress == nil {
			return nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// progressUntil returns nil if the bytes up to a position were passed on, and else a channel
// that is closed when more were.
func (accepted *acceptedConn) progressUntil(arrived position) <-chan struct{} {
	accepted.lock.Lock()
	defer accepted.lock.Unlock()
	if accepted.handled >= arrived || accepted.failed {
		return nil
	}
	if accepted.progress == nil {
		accepted.progress = make(chan struct{})
	}
	return accepted.progress
}
