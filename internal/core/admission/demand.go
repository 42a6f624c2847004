package admission

import (
	"math"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// minDemandTimeConstant is the shortest time constant of the demand
	// estimate. It is longer for a slow target, so that at least
	// minDemandSamples calls complete within it.
	minDemandTimeConstant = 500 * time.Millisecond
	minDemandSamples      = 32
	// levelPropagationTime is the time after which calls that were admitted
	// under an older level no longer arrive.
	levelPropagationTime = 250 * time.Millisecond
	// hiddenDemandTimeConstant is the time constant with which the estimate of
	// demand that callers refuse decays while the target has free slots.
	hiddenDemandTimeConstant = 200 * time.Millisecond
)

// rateEstimate estimates the arrival rate of one importance. Root requests are
// spread evenly over the buckets, so one rate describes all of them. Only
// buckets that no caller refuses are counted, and time is weighted by their
// share of all buckets.
type rateEstimate struct {
	// arrivals counts the current interval. The weighted sums decay with time.
	arrivals         float64
	weightedArrivals float64
	weightedSeconds  float64
}

// perSecond is the estimated arrival rate of all buckets.
func (estimate *rateEstimate) perSecond() float64 {
	if estimate.weightedSeconds <= 0 {
		return 0
	}
	return estimate.weightedArrivals / estimate.weightedSeconds
}

// closeInterval adds the arrivals of an interval in which openShare of the
// buckets was admitted. The time constant is in seconds.
func (estimate *rateEstimate) closeInterval(interval time.Duration, openShare, timeConstant float64) {
	seconds := interval.Seconds() * openShare
	keep := math.Exp(-seconds / timeConstant)
	estimate.weightedArrivals = estimate.weightedArrivals*keep + estimate.arrivals
	estimate.weightedSeconds = estimate.weightedSeconds*keep + seconds
	estimate.arrivals = 0
}

// decayHidden lowers the estimated demand for the buckets that callers refuse.
func (estimate *rateEstimate) decayHidden(interval time.Duration, openShare float64) {
	lost := 1 - math.Exp(-interval.Seconds()/hiddenDemandTimeConstant.Seconds())
	estimate.weightedArrivals *= 1 - lost*(1-openShare)
}

// demandEstimator estimates the arrival rate by importance. It includes calls
// that callers refuse because of the level, which never reach the target.
type demandEstimator struct {
	// estimates is indexed by importance.
	estimates   []rateEstimate
	recentLevel recentMaxLevel
}

// recordArrival counts an arrival. Arrivals below the highest recent level are
// left out, since callers refuse some of them.
func (estimator *demandEstimator) recordArrival(priority request.Priority) {
	importance := int(priority.Importance())
	for len(estimator.estimates) <= importance {
		estimator.estimates = append(estimator.estimates, rateEstimate{})
	}
	if priority >= estimator.recentLevel.value {
		estimator.estimates[importance].arrivals++
	}
}

// closeInterval ends an interval during which the level was in force. The
// service rate is in calls per second; hasFreeSlots tells whether the target
// could have taken more calls.
func (estimator *demandEstimator) closeInterval(now time.Time, interval time.Duration, level request.Level, serviceRate float64, hasFreeSlots bool) {
	timeConstant := minDemandTimeConstant.Seconds()
	if serviceRate > 0 {
		timeConstant = math.Max(timeConstant, minDemandSamples/serviceRate)
	}
	for index := range estimator.estimates {
		share := openShare(request.Importance(index), estimator.recentLevel.value)
		estimator.estimates[index].closeInterval(interval, share, timeConstant)
		if hasFreeSlots {
			estimator.estimates[index].decayHidden(interval, share)
		}
	}
	estimator.recentLevel.add(now, level)
}

// levelFor is the lowest level at which the estimated demand does not exceed
// the rate, in calls per second.
func (estimator *demandEstimator) levelFor(rate float64) request.Level {
	for index := len(estimator.estimates) - 1; index >= 0; index-- {
		demand := estimator.estimates[index].perSecond()
		if demand <= rate {
			rate -= demand
			continue
		}
		openBuckets := math.Floor(math.Max(rate, 0) / demand * request.BucketCount)
		return request.NewPriority(request.Importance(index), 0) + request.BucketCount - request.Level(openBuckets)
	}
	return 0
}

// openShare is the share of an importance's buckets at or above the level.
func openShare(importance request.Importance, level request.Level) float64 {
	switch first := request.NewPriority(importance, 0); {
	case level <= first:
		return 1
	case level >= first+request.BucketCount:
		return 0
	default:
		return float64(first+request.BucketCount-level) / request.BucketCount
	}
}

// recentMaxLevel tracks the highest level over about the last
// levelPropagationTime.
type recentMaxLevel struct {
	value    request.Level
	next     request.Level
	rollover time.Time
}

func (recent *recentMaxLevel) add(now time.Time, level request.Level) {
	recent.next = max(recent.next, level)
	recent.value = max(recent.value, level)
	if now.Before(recent.rollover) {
		return
	}
	recent.value = recent.next
	recent.next = level
	recent.rollover = now.Add(levelPropagationTime)
}
