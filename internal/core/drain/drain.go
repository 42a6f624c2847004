// Package drain stops one node and its target without cutting a request.
//
// A node that drains announces it, refuses new inbound requests with the code
// Draining and finishes the requests in flight, uploads included. The calls
// that those requests make go on. The node is empty when the last of them has
// ended; Cut, for a second signal, or the upper bound of time ends the wait
// early.
//
// # Usage
//
//	stop := &drain.Drain{Limit: 10 * time.Minute}
//	if code := stop.Enter(call); code != request.OK {
//		return code
//	}
//	defer stop.Leave(call)
//
//	stop.Begin(now) // SIGTERM, or the platform's drain
//	for !stop.Done(now) { ... }
//
// All methods may be called from several goroutines.
package drain

import (
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// DefaultLimit is the longest drain that a zero Limit stands for.
const DefaultLimit = 15 * time.Minute

// State is how far a node is on its way out.
type State uint8

// The states, in their order; a node never goes back.
const (
	Running State = iota
	Draining
	Empty
	// Ended is the end of a drain that was ended early.
	Ended
)

// String gives the state's name.
func (state State) String() string {
	switch state {
	case Running:
		return "running"
	case Draining:
		return "draining"
	case Empty:
		return "empty"
	case Ended:
		return "ended"
	}
	return "invalid"
}

// Ticket names one inbound request of the node.
type Ticket uint64

// Drain tracks the requests in flight. Limit is set before the first use.
type Drain struct {
	// Limit is the longest time that a drain waits for requests in flight.
	Limit time.Duration

	mutex    sync.Mutex
	state    State
	begun    time.Time
	announce bool
	inFlight map[Ticket]struct{}
}

// Enter takes in an inbound request, or gives the code that refuses it. A
// request that entered is in flight until Leave: from the first byte of its
// body until the last byte of its answer was sent.
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

// MayCall says whether an outbound call may start. Calls of a request in
// flight go on; zero stands for a call that no request is known for, which
// goes on as long as any request is in flight.
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

// Begin starts the drain. A second call changes nothing, since a platform may
// both drain and signal.
func (drain *Drain) Begin(now time.Time) State {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	if drain.state != Running {
		return drain.state
	}
	drain.begun = now
	drain.announce = true
	drain.state = Draining
	if len(drain.inFlight) == 0 {
		drain.state = Empty
	}
	return drain.state
}

// Cut ends a drain early, with the requests that are in flight.
func (drain *Drain) Cut() {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	if drain.state == Draining {
		drain.state = Ended
	}
}

// Announce says once that the start of the drain is to be told to the peers
// and the replica.
func (drain *Drain) Announce() bool {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	due := drain.announce
	drain.announce = false
	return due
}

// Done says whether the node may exit.
func (drain *Drain) Done(now time.Time) bool {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	limit := drain.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	if drain.state == Draining && now.Sub(drain.begun) >= limit {
		drain.state = Ended
	}
	return drain.state == Empty || drain.state == Ended
}

// State gives the state and the number of requests in flight.
func (drain *Drain) State() (State, int) {
	drain.mutex.Lock()
	defer drain.mutex.Unlock()
	return drain.state, len(drain.inFlight)
}
