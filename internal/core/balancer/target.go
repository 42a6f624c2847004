package balancer

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// State is the state of a target as its own node reports it.
type State uint8

// The states of a target. A draining target is never picked.
const (
	Ready State = iota
	Cold
	Draining
)

// String returns the name of the state.
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

// Incarnation numbers the starts of a node. It grows with each restart.
type Incarnation uint64

// Slots is the number of requests that a target handles concurrently.
type Slots uint32

// Target is an instance of a service and the node in front of it.
type Target struct {
	Node        request.NodeID
	Incarnation Incarnation
	// Address is the address at which the node accepts calls of other nodes.
	Address string
	Place   request.Place
	Slots   Slots
	State   State
}

// View is the complete list of the targets of one service.
type View struct {
	Service request.ServiceName
	Targets []Target
}

// Load is the share of a target's concurrency limit that is in use, queued calls
// included, as the target reports it. It may exceed one.
type Load float32

// Result classifies an answer by what it tells about its target.
type Result uint8

// The results. Neutral tells nothing about the target. DeadlineExceeded counts as
// a failure only if the target had far more time than is typical. ShuttingDown
// means that the target is draining.
const (
	Neutral Result = iota
	Succeeded
	Refused
	DeadlineExceeded
	Failed
	Died
	Unreachable
	ShuttingDown
)

// ResultOf classifies the result code of an answer.
func ResultOf(code request.Code) Result {
	switch code {
	case request.OK:
		return Succeeded
	case request.Overloaded, request.ColdTarget, request.ConnectionsFull, request.WaitedTooLong, request.RateLimited:
		return Refused
	case request.Draining:
		return ShuttingDown
	case request.DeadlinePassed:
		return DeadlineExceeded
	case request.AnswerCut, request.AnswerBroken, request.BrokenFrame, request.Internal:
		return Failed
	case request.TargetDied:
		return Died
	case request.TargetUnreachable, request.PeerIncompatible:
		return Unreachable
	}
	return Neutral
}

// Answer is the outcome of one call.
type Answer struct {
	Result  Result
	Latency time.Duration
	// OwnTime is the target's processing time without its waits for other
	// services. Zero means that it is unknown, or that it says nothing about the
	// target, as in an answer that reports a failure.
	OwnTime time.Duration
	// Load is the load that the target reported with the answer.
	Load Load
	// ProcessorLag is how long work waits for the processor at the target's node.
	ProcessorLag time.Duration
	// RateLimited says that the target states a rate limit, and RateWait how long one
	// more call would wait for it.
	RateLimited bool
	RateWait    time.Duration
	// Bytes is the number of bytes of the call in both directions.
	Bytes int64
}
