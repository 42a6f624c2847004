// Package transit measures how long messages of one peer wait before they are read.
//
// Each message states when it was sent, by the steady clock of its sender. The receiver
// compares that with its own steady clock. The difference between the two clocks is not
// known, but it is the same for all messages, so the smallest difference that was seen
// belongs to a message that hardly waited, and what another one has above it is the time
// that it waited longer: in buffers of either host, on the link, or for a processor. This
// is the one-way delay variation of RFC 3393, with the minimum as the reference.
//
// A difference that is far from the reference belongs to a clock that was set anew, or to a
// statement that is wrong. It begins a new reference, and the message counts as fast.
//
// Steady clocks drift apart, and a path can become longer, so the reference is the
// minimum of the current and the previous window only.
//
// # Usage
//
//	monitor := &transit.Monitor{}                // one for each connection
//	waited := monitor.Record(sentAt, receivedAt) // for each message that is read
//
// Values are safe for concurrent use, and read no clock.
package transit

import (
	"sync"
	"time"
)

// window is the time after which a reference is replaced. Clocks that differ by 100 parts
// in a million drift apart by 6 ms in two windows.
const window = 30 * time.Second

// maxWait is longer than any message waits: connections to silent peers are closed before.
const maxWait = time.Minute

// Monitor tracks the smallest difference between the clocks of a sender and a receiver.
// The zero value is ready for use.
type Monitor struct {
	lock      sync.Mutex
	began     time.Duration
	current   time.Duration
	previous  time.Duration
	hasWindow bool
}

// Record records a message and returns how much longer it waited than the fastest one.
// Both arguments are times since any fixed moment, each by a steady clock of its own.
func (monitor *Monitor) Record(sent, received time.Duration) time.Duration {
	monitor.lock.Lock()
	defer monitor.lock.Unlock()
	difference := received - sent
	reference := min(monitor.current, monitor.previous)
	switch {
	case !monitor.hasWindow, difference < reference-maxWait, difference > reference+maxWait:
		monitor.hasWindow = true
		monitor.began, monitor.current, monitor.previous = received, difference, difference
	case received-monitor.began >= window:
		monitor.began, monitor.previous, monitor.current = received, monitor.current, difference
	default:
		monitor.current = min(monitor.current, difference)
	}
	return difference - min(monitor.current, monitor.previous)
}
