// Package admission decides for one target which calls it takes now, which
// wait, and which are refused.
//
// A [Gate] stands in front of one target. It holds a concurrency limit that
// adapts to what the node measures, a short line of waiting calls ordered by
// importance, and a level: the lowest priority that the target still takes. Of the
// slots of a target that slows down when it is nearly full, some stay free.
// The level travels back on answers, so that callers refuse a call that would
// be refused further down before any work is done for it; [Levels] keeps what
// came back. The thresholds follow DAGOR (Zhou et al., "Overload Control for
// Scaling WeChat Microservices", 2018); docs/design/admission.md compares the
// alternatives.
//
// The package does no I/O, reads no clock and starts no goroutine. A value is
// not safe for concurrent use: its owner guards a gate, and the levels that it
// reads, by one lock.
//
// # Usage
//
// The fields of a gate are set before its first use. The call ids of the work
// are unique among the calls that the gate holds.
//
//	levels := &admission.Levels{}
//	gate := &admission.Gate{Slots: 50, Below: levels}
//	decision, notices := gate.Arrive(now, work, notices[:0])
//	switch decision.Verdict {
//	case admission.Admit: // hand the call to the target
//	case admission.Wait: // a later notice admits or refuses it
//	case admission.Refuse: // answer decision.Code
//	}
//	for _, notice := range notices { // other calls whose decision fell now
//		wake(notice.Call, notice.Decision)
//	}
//
// Each admitted call ends with one [Gate.Finish] or [Gate.Cancel]; a waiting
// call that the caller gave up ends with Cancel. [Gate.Tick] runs about every
// ten milliseconds. Each answer to a caller carries [Gate.Level], and each
// answer from a service below is given to [Levels.Learn].
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

// Decision tells what becomes of a call. Code and RetryAfter are set for
// [Refuse].
type Decision struct {
	Verdict    Verdict
	Code       request.Code
	RetryAfter time.Duration
}

// Notice is the decision on a call that waited.
type Notice struct {
	Call     request.CallID
	Decision Decision
}

// Result tells how an admitted call ended.
type Result uint8

// The results.
const (
	// Succeeded is a whole answer of the target.
	Succeeded Result = iota + 1
	// RefusedBelow is a call that failed as a service below refused it.
	RefusedBelow
	// Shed is a call that the target itself turned away as too much.
	Shed
	// Failed is any other end.
	Failed
)

// Sample is what the node measured of an admitted call.
type Sample struct {
	Kind request.KindName
	// Latency is the time from the hand-over to the target to its answer.
	Latency time.Duration
	// Below is the part of Latency in which the target waited for the answers
	// of other services.
	Below  time.Duration
	Result Result
}
