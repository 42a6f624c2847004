// Package drain stops a node and its target without aborting a request.
//
// A draining node announces that it drains, refuses new inbound requests with
// the code Draining, and lets the requests in flight finish, uploads included.
// The outbound calls of those requests are still allowed. The drain is complete
// when the last request has ended. [Drain.EndEarly], called on a second signal, or
// the timeout ends the wait before that.
//
// Callers that do not know yet that the node leaves still send it calls to pass on. A
// [Forecast] tells which of them end before the node stops. Recent calls are no bound on
// the next one, so for a call that comes late only its deadline counts.
//
// # Usage
//
//	tracker := &drain.Drain{Timeout: 10 * time.Minute}
//	if code := tracker.Enter(ticket); code != request.OK {
//		return code
//	}
//	defer tracker.Leave(ticket)
//
//	tracker.Begin(now) // on SIGTERM, or when the platform drains the node
//	for !tracker.Done(now) { ... }
//
//	forecast := drain.Forecast{Late: late, Bound: deadline.Sub(now), Recent: estimate}
//	if forecast.Duration() > stopAt.Sub(now) {
//		return request.Stopping
//	}
//
// All methods are safe for concurrent use.
package drain

import (
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// DefaultTimeout is the timeout that a zero Drain.Timeout stands for.
const DefaultTimeout = 15 * time.Minute

// State is the progress of a drain.
type State uint8

// The states. They only change in this order.
const (
	Running State = iota
	Draining
	// Empty is a complete drain: no request is in flight.
	Empty
	// EndedEarly is a drain that ended with requests in flight.
	EndedEarly
)

// String returns the name of the state.
func (state State) String() string {
	switch state {
	case Running:
		return "running"
	case Draining:
		return "draining"
	case Empty:
		return "empty"
	case EndedEarly:
		return "ended"
	}
	return "invalid"
}

// Ticket identifies one inbound request of the node.
type Ticket uint64

// Drain tracks the requests in flight on a node. Timeout is set before the first
// use.
type Drain struct {
	// Timeout is the longest time that a drain waits for requests in flight. Zero
	// is DefaultTimeout.
	Timeout time.Duration

	mutex   sync.Mutex
	state   State
	begunAt time.Time
	// announcementDue is set from Begin until the first TakeAnnouncement.
	announcementDue bool
	inFlight        map[Ticket]struct{}
}

// Enter admits an inbound request, or returns the code that refuses it. An
// admitted request is in flight until Leave, which is called when the last byte
// of the answer was sent. Reading the body is part of that time.
func (drain *Drain) Enter(ticket Ticket) request.Code {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	if drain.state != Running {
		return request.Draining
	}
	if drain.inFlight == nil {
		drain.inFlight = map[Ticket]struct{}{}
	}
	drain.inFlight[ticket] = struct{}{}
	return request.OK
}

// MayCall tells whether an outbound call may start. During a drain only calls of
// requests in flight may. The zero ticket stands for a call whose request is not
// known, which may start while any request is in flight.
func (drain *Drain) MayCall(ticket Ticket) bool {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	if drain.state == Running {
		return true
	}
	if drain.state != Draining {
		return false
	}
	if ticket == 0 {
		return len(drain.inFlight) > 0
	}
	_, ok := drain.inFlight[ticket]
	return ok
}

// Leave ends a request in flight.
func (drain *Drain) Leave(ticket Ticket) {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	delete(drain.inFlight, ticket)
	if drain.state == Draining && len(drain.inFlight) == 0 {
		drain.state = Empty
	}
}

// Begin starts the drain and returns the state. Further calls change nothing, as
// a platform may both drain a node and send it a signal.
func (drain *Drain) Begin(now time.Time) State {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	if drain.state != Running {
		return drain.state
	}
	drain.begunAt = now
	drain.announcementDue = true
	drain.state = Draining
	if len(drain.inFlight) == 0 {
		drain.state = Empty
	}
	return drain.state
}

// EndEarly ends a drain without waiting for the requests in flight.
func (drain *Drain) EndEarly() {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	if drain.state == Draining {
		drain.state = EndedEarly
	}
}

// TakeAnnouncement tells whether the start of the drain must be announced to the
// peers and the replica. It is true once.
func (drain *Drain) TakeAnnouncement() bool {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	due := drain.announcementDue
	drain.announcementDue = false
	return due
}

// Done tells whether the node may exit.
func (drain *Drain) Done(now time.Time) bool {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	timeout := drain.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	if drain.state == Draining && now.Sub(drain.begunAt) >= timeout {
		drain.state = EndedEarly
	}
	return drain.state == Empty || drain.state == EndedEarly
}

// State returns the state and the number of requests in flight.
func (drain *Drain) State() (State, int) {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	return drain.state, len(drain.inFlight)
}
