// Package admission decides which inbound calls one target takes now, which
// are queued, and which are refused.
//
// A [Gate] stands in front of one target. It has three parts:
//
//   - an adaptive concurrency limit, which follows the latency that the node
//     measures. For a target that slows down when it is nearly full, some of its
//     slots are kept free;
//   - a short queue of waiting calls, ordered by importance;
//   - an admission level: the lowest priority that the target still takes.
//
// Answers carry the level back to the callers. A caller refuses a call that
// would be refused downstream before any work is done for it; [Levels] stores
// the levels that a node received. The priority thresholds follow DAGOR (Zhou et
// al., "Overload Control for Scaling WeChat Microservices", 2018);
// docs/design/admission.md compares the alternatives.
//
// The package does no I/O, reads no clock and starts no goroutine. Its types
// are not safe for concurrent use: the owner guards a gate and the levels that
// the gate reads by one lock.
//
// # Usage
//
// The exported fields of a gate are set before its first use. Call ids are
// unique among the calls that the gate holds.
//
//	levels := &admission.Levels{}
//	gate := &admission.Gate{Slots: 50, Downstream: levels}
//	decision, notices := gate.Arrive(now, work, notices[:0])
//	switch decision.Verdict {
//	case admission.Admit: // hand the call to the target
//	case admission.Wait: // a later notice admits or refuses it
//	case admission.Refuse: // answer decision.Code
//	}
//	for _, notice := range notices { // other calls that were decided now
//		wake(notice.Call, notice.Decision)
//	}
//
// Each admitted call ends with one [Gate.Finish] or [Gate.Cancel]; a queued
// call that the caller abandoned ends with Cancel. [Gate.Tick] is called about
// every ten milliseconds. Each answer to a caller carries [Gate.Level], and the
// level in each answer from a downstream service goes to [Levels.RecordLevel].
package admission

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Verdict is the kind of a decision.
type Verdict uint8

// The verdicts.
const (
	Admit Verdict = iota + 1
	Wait
	Refuse
)

// Decision is the outcome of admission control for one call. Code and
// RetryAfter are set for [Refuse].
type Decision struct {
	Verdict    Verdict
	Code       request.Code
	RetryAfter time.Duration
}

// Notice is the decision on a call that was queued.
type Notice struct {
	Call     request.CallID
	Decision Decision
}

// Result tells how an admitted call ended.
type Result uint8

// The results.
const (
	// Succeeded is a complete answer of the target.
	Succeeded Result = iota + 1
	// RefusedDownstream is a call that failed because a downstream service refused
	// it.
	RefusedDownstream
	// Shed is a call that the target itself rejected because of overload.
	Shed
	// Failed is any other end.
	Failed
)

// Sample is the node's measurement of one admitted call.
type Sample struct {
	Kind request.KindName
	// Latency is the time from the hand-over to the target to its answer.
	Latency time.Duration
	// DownstreamTime is the part of Latency in which the target waited for the answers
	// of other services.
	DownstreamTime time.Duration
	Result         Result
}
