// Package socket looks at the state of connections and listeners without reading from
// them, so that what has arrived but was not read yet can be taken into account.
//
// A connection without a socket, such as a pipe in a test, counts as open with nothing to
// read. The functions are safe for concurrent use with all methods of the connection.
//
// # Usage
//
//	if socket.ClosedByPeer(connection) {
//		// Nobody waits for an answer any more.
//	}
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection as seen without reading from it.
type State uint8

// The states of a connection.
const (
	// Idle is an open connection with no bytes to read.
	Idle State = iota
	// Readable is a connection with bytes to read. Its peer may have closed it after them.
	Readable
	// Closed is a connection that its peer closed or reset, with nothing to read before.
	Closed
)

// Peek returns the state of a connection.
func Peek(connection net.Conn) State {
	state := Idle
	if withDescriptor(connection, func(descriptor int) { state = peekDescriptor(descriptor) }) != nil {
		return Closed
	}
	return state
}

// ClosedByPeer reports whether the peer has closed or reset a connection, also where bytes
// that it sent before were not read yet.
func ClosedByPeer(connection net.Conn) bool {
	closed := false
	err := withDescriptor(connection, func(descriptor int) {
		events, pollErr := poll(descriptor, unix.POLLRDHUP)
		// Where the system cannot tell, the end is seen once it is read.
		closed = pollErr == nil && events != 0
	})
	return err != nil || closed
}

// poll returns which events hold for a descriptor, errors among them, without waiting.
func poll(descriptor int, events int16) (int16, error) {
	polled := []unix.PollFd{{Fd: int32(descriptor), Events: events}}
	for {
		_, err := unix.Poll(polled, 0)
		if !errors.Is(err, unix.EINTR) {
			return polled[0].Revents, err
		}
	}
}

// Unread returns how many bytes of a connection have arrived and were not read yet. It
// returns an error if the connection is closed or the number is unknown.
func Unread(connection net.Conn) (int, error) {
	count, countErr := 0, error(nil)
	err := withDescriptor(connection, func(descriptor int) {
		count, countErr = unix.IoctlGetInt(descriptor, unix.TIOCINQ)
	})
	return count, errors.Join(err, countErr)
}

// HasQueued reports whether a connection waits to be accepted by a listener. It returns an
// error if that is unknown.
func HasQueued(listener net.Listener) (bool, error) {
	events, pollErr := int16(0), error(nil)
	err := withDescriptor(listener, func(descriptor int) { events, pollErr = poll(descriptor, unix.POLLIN) })
	return events != 0, errors.Join(err, pollErr)
}

// withDescriptor calls use with the descriptor of a connection or listener. It returns an
// error if that is closed, and does nothing for one without a socket, as tests have it.
//
// It takes RawConn.Control rather than Read, which would wait while another goroutine
// reads from the connection, as net/http does while a call is served.
func withDescriptor(socket any, use func(descriptor int)) error {
	raw, ok := socket.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	return control.Control(func(descriptor uintptr) { use(int(descriptor)) })
}

// peekDescriptor returns the state of a non-blocking socket.
func peekDescriptor(descriptor int) State {
	var probe [1]byte
	for {
		count, _, err := unix.Recvfrom(descriptor, probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			return Idle
		case err == nil && count > 0:
			return Readable
		}
		return Closed
	}
}
