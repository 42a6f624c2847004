// Package intake sheds whole trees of calls where they enter, before any work
// is done for them.
//
// A call that is refused deep in a tree wastes all that the tree had done, and
// with several calls below each other a small share of refusals fails most
// trees. So the node beside a target judges how the calls of each kind end
// there, and lowers the share of them that may still enter while too many fail
// for want of room further down; the share is raised step by step and lowered by
// a factor (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for
// Congestion Avoidance in Computer Networks", 1989). The share travels back on
// answers, and the nodes where calls enter follow it.
//
// Less important kinds yield first: while an important kind suffers, the kinds
// below it that suffer as well let in less.
//
// # Usage
//
//	meter := &intake.Meter{}                       // beside a target
//	meter.Ended(now, kind, intake.Failed)
//	report.Share = meter.Share(now, kind)
//
//	valve := &intake.Valve{}                       // where calls enter
//	valve.Hear(now, kind, importance, report.Share)
//	if !valve.Admits(now, kind, importance, random.Float64()) { ... }
//
// Values are not safe for concurrent use, and read no clock.
package intake

import (
	"math"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// step is the time between two changes of a share: a few times the length of
	// a call, so that a change shows before the next one.
	step = 250 * time.Millisecond
	// leastSamples is how many ended calls a change needs.
	leastSamples = 6
	// tolerated is the share of failed calls that changes nothing.
	tolerated = 0.1
	// cut scales how far a share is lowered by the failures above it, and
	// deepestCut bounds one step.
	cut        = 0.3
	deepestCut = 0.5
	// raise is what a share grows in a step, and rebound by which part of itself
	// it grows besides for each step in a row in which no call starved: after an
	// overload has ended, all calls must enter again within a second or two, and
	// while it lasts such rows are short.
	raise   = 0.03
	rebound = 0.15
	// leastShare keeps some calls coming, which show when there is room again.
	leastShare = 0.1
	// followTime is the time constant with which a valve follows what targets
	// report, and fadeTime that with which it opens when they say nothing.
	followTime = 300 * time.Millisecond
	fadeTime   = 2 * time.Second
	// yielding is the power with which a kind yields to the suffering of more
	// important ones.
	yielding = 2
	// suffers is the share below which a kind counts as suffering.
	suffers = 0.97
)

// End tells how a call ended at a target.
type End uint8

// The ends of a call.
const (
	// Fine is a whole answer in time.
	Fine End = iota
	// Starved is a failure, or an answer after its objective, while a service
	// below had no room.
	Starved
)

// Meter judges the calls of each kind at one target.
type Meter struct {
	kinds map[request.KindName]*judged
}

type judged struct {
	share   float64
	fine    int
	starved int
	// calm is the number of steps in a row in which no call starved.
	calm  float64
	since time.Time
}

// Ended notes the end of a call.
func (meter *Meter) Ended(now time.Time, kind request.KindName, end End) {
	if meter.kinds == nil {
		meter.kinds = make(map[request.KindName]*judged)
	}
	found := meter.kinds[kind]
	if found == nil {
		found = &judged{share: 1, since: now}
		meter.kinds[kind] = found
	}
	if end == Starved {
		found.starved++
	} else {
		found.fine++
	}
	found.adjust(now)
}

// Share is the share of the calls of a kind that may enter.
func (meter *Meter) Share(now time.Time, kind request.KindName) float64 {
	found := meter.kinds[kind]
	if found == nil {
		return 1
	}
	found.adjust(now)
	return found.share
}

func (found *judged) adjust(now time.Time) {
	elapsed := now.Sub(found.since)
	ended := found.fine + found.starved
	if elapsed < step || ended < leastSamples && elapsed < fadeTime {
		return
	}
	failed := 0.0
	if ended > 0 {
		failed = float64(found.starved) / float64(ended)
	}
	switch {
	case ended >= leastSamples && failed > tolerated:
		found.share = max(leastShare, found.share*max(deepestCut, 1-cut*failed))
		found.calm = 0
	default:
		steps := float64(elapsed) / float64(step)
		found.calm += steps
		if found.starved > 0 {
			found.calm = 0
		}
		found.share = min(1, found.share+(raise+rebound*found.share*found.calm)*steps)
	}
	found.fine, found.starved, found.since = 0, 0, now
}

// Valve follows the shares where calls enter.
type Valve struct {
	kinds map[request.KindName]*followed
}

type followed struct {
	importance request.Importance
	share      float64
	heardAt    time.Time
}

// Hear takes the share that came with an answer.
func (valve *Valve) Hear(now time.Time, kind request.KindName, importance request.Importance, share float64) {
	if !(share >= leastShare) || share > 1 {
		share = 1
	}
	if valve.kinds == nil {
		valve.kinds = make(map[request.KindName]*followed)
	}
	found := valve.kinds[kind]
	if found == nil {
		valve.kinds[kind] = &followed{importance: importance, share: share, heardAt: now}
		return
	}
	weight := 1 - math.Exp(-float64(now.Sub(found.heardAt))/float64(followTime))
	// Several answers at once still count, each a little.
	weight = max(weight, leastWeight)
	found.share += (share - found.share) * weight
	found.importance, found.heardAt = importance, now
}

// leastWeight is what an answer counts that comes right after another.
const leastWeight = 0.05

// Share is the share of the calls of a kind that enter now.
func (valve *Valve) Share(now time.Time, kind request.KindName, importance request.Importance) float64 {
	found := valve.kinds[kind]
	if found == nil {
		return 1
	}
	share := found.at(now)
	if share >= suffers {
		return 1
	}
	for _, other := range valve.kinds {
		if other.importance > importance {
			share *= math.Pow(other.at(now), yielding)
		}
	}
	return max(share, leastShare)
}

// Admits tells whether a call may enter; the draw is from zero to one.
func (valve *Valve) Admits(now time.Time, kind request.KindName, importance request.Importance, draw float64) bool {
	return draw < valve.Share(now, kind, importance)
}

// at is the share, which opens while nothing is heard.
func (found *followed) at(now time.Time) float64 {
	quiet := now.Sub(found.heardAt)
	if quiet <= 0 {
		return found.share
	}
	return 1 - (1-found.share)*math.Exp(-float64(quiet)/float64(fadeTime))
}
