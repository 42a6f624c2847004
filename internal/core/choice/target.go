package choice

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// State is what a target's own node says of it.
type State uint8

// The states of a target. A draining target is never picked.
const (
	Ready State = iota
	Cold
	Draining
)

// String gives the state's name.
func (state State) String() string {
	switch state {
	case Ready:
		return "ready"
	case Cold:
		return "cold"
	case Draining:
		return "draining"
	}
	return "invalid"
}

// Incarnation numbers the starts of a node; a restarted node has a higher one.
type Incarnation uint64

// Slots is how many requests a target works on at a time.
type Slots uint32

// Target is one instance of a service behind its node.
type Target struct {
	Node        request.NodeID
	Incarnation Incarnation
	// Address is where the node takes calls from its peers.
	Address string
	Place   request.Place
	Slots   Slots
	State   State
}

// View is the whole list of the targets of one service.
type View struct {
	Service request.ServiceName
	Targets []Target
}

// Load is the share of a target's limit that is in use, waiting work
// included. It is what the target says of itself.
type Load float32

// Result says what an answer tells of the target that gave it.
type Result uint8

// The results. A neutral one tells nothing of the target; a late one, whose
// deadline passed, does when the target had far longer than is typical.
const (
	Neutral Result = iota
	Succeeded
	Refused
	Late
	Failed
	Died
	Unreachable
	Left
)

// ResultOf gives what a result code tells of the target that answered.
func ResultOf(code request.Code) Result {
	switch code {
	case request.OK:
		return Succeeded
	case request.Overloaded, request.ColdTarget, request.ConnectionsFull, request.WaitedTooLong:
		return Refused
	case request.Draining:
		return Left
	case request.DeadlinePassed:
		return Late
	case request.AnswerCut, request.AnswerBroken, request.BrokenFrame, request.Internal:
		return Failed
	case request.TargetDied:
		return Died
	case request.TargetUnreachable, request.PeerIncompatible:
		return Unreachable
	}
	return Neutral
}

// Answer is what came back for one call.
type Answer struct {
	Result  Result
	Latency time.Duration
	// Own is the target's own time, without its waits for other services; zero
	// where it is not known, or says nothing, as of an answer that tells a failure.
	Own time.Duration
	// Load is the load that the target reported with the answer.
	Load Load
	// Lag is how long work waits for the processor at the target's node.
	Lag time.Duration
	// Bytes is what the call moved both ways.
	Bytes int64
}
