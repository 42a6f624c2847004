package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// endpoint is a target together with what the node has measured at it, what it has
// reported, and whether it can be used.
type endpoint struct {
	target Target
	// hash is the hash of the node id, for the ranking by fingerprint.
	hash uint64
	// weight is the rendezvous weight of the target for this node.
	weight   uint64
	inFlight int

	// latency is a moving average in nanoseconds; zero before the first sample.
	latency    float64
	measuredAt time.Time
	// failureShare is the moving average of the share of calls that failed.
	failureShare float64

	load Load
	// processorLag is how long work waits for the processor of the target's node.
	processorLag time.Duration
	// rateWait is how long a call would have waited for the target's rate limit at
	// reportedAt.
	rateWait   time.Duration
	reportedAt time.Time
	// inFlightAtReport is the number of calls in flight when the report arrived.
	inFlightAtReport int
	// slowness is the moving average of the latency relative to that of the kind of
	// each call; zero before the first sample.
	slowness float64

	// rateHold is how long the target gets no calls after it refused one by its rate
	// limit. It adapts the calls of this node to its part of the limit.
	rateHold        time.Duration
	refusedUntil    time.Time
	refusedPriority request.Priority

	connected        bool
	unreachable      bool
	unreachableSince time.Time
	// drainingUntil is how long an answer that reported draining counts. By then the
	// list of targets shows it, or the target has come back.
	drainingUntil time.Time
	ejected       bool
	probing       bool
	ejectedUntil  time.Time
	ejectionTime  time.Duration

	warmupStart time.Time
	warmupTime  time.Duration
}

// draining reports whether the target answered lately that it is draining.
func (endpoint *endpoint) draining(now time.Time) bool {
	return now.Before(endpoint.drainingUntil)
}

// refuses reports whether the target would refuse a call of the priority: its slots
// are in use, or it refused such a call lately.
func (endpoint *endpoint) refuses(now time.Time, priority request.Priority) bool {
	if endpoint.inFlight >= int(max(endpoint.target.Slots, 1)) {
		return true
	}
	return priority <= endpoint.refusedPriority && now.Before(endpoint.refusedUntil)
}

// probeDue reports whether an ejected target may be probed.
func (endpoint *endpoint) probeDue(now time.Time) bool {
	return endpoint.ejected && !now.Before(endpoint.ejectedUntil)
}

// drawWarm decides at random whether the target takes part in a pick. The
// probability is its traffic share divided by warmest, the highest share among the
// targets.
func (endpoint *endpoint) drawWarm(now time.Time, random *rand.Rand, warmest float64) bool {
	share := endpoint.trafficShare(now)
	return share >= warmest || random.Float64()*warmest < share
}

// trafficShare is the share of its usual calls that a target gets. It is below one
// while the target warms up, after a cold start or an ejection.
func (endpoint *endpoint) trafficShare(now time.Time) float64 {
	if endpoint.warmupTime == 0 {
		return 1
	}
	age := now.Sub(endpoint.warmupStart)
	if age >= endpoint.warmupTime {
		return 1
	}
	return initialWarmupShare + (1-initialWarmupShare)*float64(age)/float64(endpoint.warmupTime)
}

// cost estimates how long, in nanoseconds, one more call takes at the target.
func (endpoint *endpoint) cost(now time.Time, typical float64, staleness time.Duration) float64 {
	latency := typical
	if endpoint.latency > 0 {
		latency += (endpoint.latency - typical) * ageWeight(now.Sub(endpoint.measuredAt), staleness)
	}
	queueFactor := float64(endpoint.inFlight+1) / float64(max(endpoint.target.Slots, 1))
	reportFactor := 1 + float64(min(endpoint.load, 1))*ageWeight(now.Sub(endpoint.reportedAt), staleness)
	return max(latency, 1) * queueFactor * reportFactor * (1 + failureCostFactor*endpoint.failureShare)
}

// maxLoad bounds the load that a target reports.
const maxLoad = 10

func (endpoint *endpoint) recordReport(now time.Time, answer Answer) {
	endpoint.processorLag = max(answer.ProcessorLag, 0)
	endpoint.rateWait = max(answer.RateWait, 0)
	load := answer.Load
	if !(load >= 0) {
		load = 0
	}
	endpoint.load = min(load, maxLoad)
	endpoint.reportedAt = now
	endpoint.inFlightAtReport = endpoint.inFlight
}

func (endpoint *endpoint) recordLatency(now time.Time, latency time.Duration) {
	measured := float64(max(latency, 0))
	if endpoint.latency == 0 {
		endpoint.latency = measured
	}
	endpoint.latency += (measured - endpoint.latency) * latencyAverageGain
	endpoint.measuredAt = now
}

// ageWeight is the weight of a value of an age: one when new, half at staleness.
func ageWeight(age, staleness time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(staleness) / float64(staleness+age)
}
