// Package ingress sheds whole trees of calls where they enter, before any work
// is done for them.
//
// A call that is refused deep in a tree wastes all the work that was done for
// the tree. With several calls on each level of a tree, even a small share of
// refused calls fails most trees. The node of a target therefore watches how the
// calls of each kind end there ([ShareController]). While too many fail because a
// downstream service is overloaded, it lowers the share of calls of the kind that
// may enter. The share is increased additively and decreased multiplicatively
// (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for
// Congestion Avoidance in Computer Networks", 1989). Answers carry the share back
// to the nodes where calls enter, which admit calls at that share ([Throttle]).
//
// Less important kinds are shed first: while the share of an important kind is
// reduced, less important kinds whose share is reduced as well admit still less.
//
// # Usage
//
//	controller := &ingress.ShareController{} // on the node of a target
//	controller.RecordEnd(now, kind, ingress.Overloaded)
//	report.Share = controller.Share(now, kind)
//
//	throttle := &ingress.Throttle{} // on a node where calls enter
//	throttle.RecordShare(now, kind, importance, report.Share)
//	if !throttle.Admits(now, kind, importance, random.Float64()) { ... }
//
// Values are not safe for concurrent use, and read no clock.
package ingress

import (
	"math"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// adjustInterval is the time between two changes of a share: a few times the
	// length of a call, so that a change takes effect before the next one.
	adjustInterval = 250 * time.Millisecond
	// minEndedCalls is the number of ended calls that a change needs.
	minEndedCalls = 6
	// toleratedFailureShare is the share of failed calls up to which a share is
	// not decreased.
	toleratedFailureShare = 0.1
	// A decrease lowers a share by decreaseScale times the share of failed calls;
	// minDecreaseFactor bounds one decrease.
	decreaseScale     = 0.3
	minDecreaseFactor = 0.5
	// An increase adds increasePerInterval to a share, and reboundFactor times the
	// share for each consecutive interval without a failed call. After an overload
	// all calls must be admitted again within a second or two; during one, such
	// series of intervals are short.
	increasePerInterval = 0.03
	reboundFactor       = 0.15
	// minShare lets some calls enter, which show when there is capacity again.
	minShare = 0.1
	// followTimeConstant is the time constant with which a throttle follows
	// reported shares, and openTimeConstant the one with which it opens without
	// reports.
	followTimeConstant = 300 * time.Millisecond
	openTimeConstant   = 2 * time.Second
	// yieldExponent is the power to which the shares of more important kinds are
	// raised before the share of a less important kind is multiplied by them.
	yieldExponent = 2
	// fullShare is the share from which on a kind counts as not reduced.
	fullShare = 0.97
)

// End tells how a call ended at a target.
type End uint8

// The ends of a call.
const (
	// Unaffected is any end that an overloaded downstream service did not cause.
	Unaffected End = iota
	// Overloaded is a failure, or an answer later than the objective of its kind,
	// while a downstream service was overloaded.
	Overloaded
)

// ShareController sets the share of each kind from how its calls end at one target.
type ShareController struct {
	kinds map[request.KindName]*kindControl
}

// kindControl is the state behind the share of one kind.
type kindControl struct {
	share      float64
	unaffected int
	overloaded int
	// calmIntervals is the number of consecutive intervals without an
	// overloaded call.
	calmIntervals float64
	intervalStart time.Time
}

// RecordEnd records how a call ended at the target.
func (controller *ShareController) RecordEnd(now time.Time, kind request.KindName, end End) {
	if controller.kinds == nil {
		controller.kinds = make(map[request.KindName]*kindControl)
	}
	found := controller.kinds[kind]
	if found == nil {
		found = &kindControl{share: 1, intervalStart: now}
		controller.kinds[kind] = found
	}
	if end == Overloaded {
		found.overloaded++
	} else {
		found.unaffected++
	}
	found.adjust(now)
}

// Share is the share of the calls of a kind that may enter.
func (controller *ShareController) Share(now time.Time, kind request.KindName) float64 {
	found := controller.kinds[kind]
	if found == nil {
		return 1
	}
	found.adjust(now)
	return found.share
}

func (control *kindControl) adjust(now time.Time) {
	elapsed := now.Sub(control.intervalStart)
	ended := control.unaffected + control.overloaded
	if elapsed < adjustInterval || ended < minEndedCalls && elapsed < openTimeConstant {
		return
	}
	failureShare := 0.0
	if ended > 0 {
		failureShare = float64(control.overloaded) / float64(ended)
	}
	switch {
	case ended >= minEndedCalls && failureShare > toleratedFailureShare:
		control.share = max(minShare, control.share*max(minDecreaseFactor, 1-decreaseScale*failureShare))
		control.calmIntervals = 0
	default:
		intervals := float64(elapsed) / float64(adjustInterval)
		control.calmIntervals += intervals
		if control.overloaded > 0 {
			control.calmIntervals = 0
		}
		control.share = min(1, control.share+(increasePerInterval+reboundFactor*control.share*control.calmIntervals)*intervals)
	}
	control.unaffected, control.overloaded, control.intervalStart = 0, 0, now
}

// Throttle admits calls where they enter, at the shares that targets report.
type Throttle struct {
	kinds map[request.KindName]*reportedShare
}

// reportedShare is the share of one kind as targets reported it.
type reportedShare struct {
	importance request.Importance
	share      float64
	updatedAt  time.Time
}

// RecordShare records the share in an answer. A share out of range counts as
// one.
func (throttle *Throttle) RecordShare(now time.Time, kind request.KindName, importance request.Importance, share float64) {
	if !(share >= minShare) || share > 1 {
		share = 1
	}
	if throttle.kinds == nil {
		throttle.kinds = make(map[request.KindName]*reportedShare)
	}
	found := throttle.kinds[kind]
	if found == nil {
		throttle.kinds[kind] = &reportedShare{importance: importance, share: share, updatedAt: now}
		return
	}
	weight := 1 - math.Exp(-float64(now.Sub(found.updatedAt))/float64(followTimeConstant))
	// Each of several answers that arrive at once still has some weight.
	weight = max(weight, minAnswerWeight)
	found.share += (share - found.share) * weight
	found.importance, found.updatedAt = importance, now
}

// minAnswerWeight is the weight of an answer that follows another immediately.
const minAnswerWeight = 0.05

// Share is the share of the calls of a kind that may enter now. It takes more
// important kinds into account.
func (throttle *Throttle) Share(now time.Time, kind request.KindName, importance request.Importance) float64 {
	found := throttle.kinds[kind]
	if found == nil {
		return 1
	}
	share := found.at(now)
	if share >= fullShare {
		return 1
	}
	for _, other := range throttle.kinds {
		if other.importance > importance {
			share *= math.Pow(other.at(now), yieldExponent)
		}
	}
	return max(share, minShare)
}

// Admits tells whether a call may enter. The draw is a random number from zero to
// one.
func (throttle *Throttle) Admits(now time.Time, kind request.KindName, importance request.Importance, draw float64) bool {
	return draw < throttle.Share(now, kind, importance)
}

// at is the share at a time; it rises to one while no answer arrives.
func (reported *reportedShare) at(now time.Time) float64 {
	sinceUpdate := now.Sub(reported.updatedAt)
	if sinceUpdate <= 0 {
		return reported.share
	}
	return 1 - (1-reported.share)*math.Exp(-float64(sinceUpdate)/float64(openTimeConstant))
}
