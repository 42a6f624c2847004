package balancer

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Penalties for the distance to a target, as the time that a call waits for a
// nearer target before it goes to a farther one. They consist of a fixed time
// somewhat above the round trip and a time per byte, since traffic between failure
// domains is charged for, and traffic between regions costs eight to ten times as
// much.
const (
	sameRegionPenalty         = 8 * time.Millisecond
	otherRegionPenalty        = 60 * time.Millisecond
	sameRegionPenaltyPerByte  = 2 * time.Microsecond
	otherRegionPenaltyPerByte = 20 * time.Microsecond
	// defaultAnswerBytes is the assumed size of the answer to a kind of call that
	// has not been measured yet.
	defaultAnswerBytes = 2000
)

const (
	// kindAverageGain is the weight of a new sample in the averages of a kind.
	kindAverageGain = 0.02
	// slownessGain is the weight of a new sample in the slowness of a target.
	slownessGain = 0.1
	// maxSlowness bounds a sample of a target's slowness.
	maxSlowness = 20
	// contentionShare is the share by which a call takes longer at a target whose
	// slots are all in use, before any call waits for a slot.
	contentionShare = 0.4
	// costNoiseShare is the relative size of the random part of an estimate. It keeps
	// nodes with the same reports from all picking the same target.
	costNoiseShare = 0.2
	// maxCostNoise bounds the random part well below the penalty for another region,
	// also for calls that take long.
	maxCostNoise = 15 * time.Millisecond
)

var (
	tierPenalties        = [tierCount]time.Duration{sameDomain: 0, sameRegion: sameRegionPenalty, otherRegion: otherRegionPenalty}
	tierPenaltiesPerByte = [tierCount]time.Duration{sameDomain: 0, sameRegion: sameRegionPenaltyPerByte, otherRegion: otherRegionPenaltyPerByte}
)

// kindStats holds moving averages for the calls of one kind.
type kindStats struct {
	// latency is in nanoseconds.
	latency float64
	bytes   float64
	// latencyIsOwnTime is set if latency averages the targets' own times, without
	// their waits for other services.
	latencyIsOwnTime bool
}

// expectedBytes estimates the bytes that a call transfers in both directions.
func (pool *servicePool) expectedBytes(call *Call) float64 {
	if stats := pool.kindStats[call.Kind]; stats != nil {
		return max(stats.bytes, float64(call.BodyBytes))
	}
	return float64(call.BodyBytes) + defaultAnswerBytes
}

// leastExpectedTime returns the eligible target with the least expected time over
// all tiers, distance penalty included, or nil, and the number of eligible targets.
// Warming targets get a smaller share of the calls only if warmer ones are eligible:
// after a restart of the whole site, when all targets are cold, none gets less.
func (pool *servicePool) leastExpectedTime(now time.Time, random *rand.Rand, call *Call, eligible eligibility) (best *endpoint, count int) {
	lowestCost, warmest := 0.0, 0.0
	bytes := pool.expectedBytes(call)
	if !eligible.refusing {
		pool.forEachEligible(now, call, eligible, func(_ int, candidate *endpoint) { warmest = max(warmest, candidate.trafficShare(now)) })
	}
	pool.forEachEligible(now, call, eligible, func(tier int, candidate *endpoint) {
		count++
		if !eligible.refusing && !candidate.drawWarm(now, random, warmest) {
			return
		}
		cost := pool.expectedTime(now, call.Kind, candidate)
		cost += min(costNoiseShare*cost, float64(maxCostNoise)) * random.Float64()
		cost += float64(tierPenalties[tier]) + bytes*float64(tierPenaltiesPerByte[tier])
		if best == nil || cost < lowestCost {
			best, lowestCost = candidate, cost
		}
	})
	return best, count
}

// forEachEligible visits the eligible targets of the node's subset.
func (pool *servicePool) forEachEligible(now time.Time, call *Call, eligible eligibility, visit func(tier int, candidate *endpoint)) {
	for tier := range pool.tiers {
		for _, candidate := range pool.tiers[tier][:min(len(pool.tiers[tier]), pool.balancer.TargetsPerTier)] {
			if eligible.allows(now, call, candidate) {
				visit(tier, candidate)
			}
		}
	}
}

// expectedTime estimates how long, in nanoseconds, one more call of the kind takes
// at the target: the target's own time, the wait for a slot and the wait for the
// processor of the target's node. Recent failures raise the estimate.
func (pool *servicePool) expectedTime(now time.Time, kind request.KindName, candidate *endpoint) float64 {
	typical := max(pool.typicalLatency, float64(time.Millisecond))
	if stats := pool.kindStats[kind]; stats != nil {
		typical = stats.latency
	}
	slowness := candidate.currentSlowness(now, pool.balancer.Staleness)
	slots := float64(max(candidate.target.Slots, 1))
	calls := candidate.callsAtTarget(now, pool.balancer.Staleness) + 1
	ownTime := typical * slowness * (1 + contentionShare*min(calls/slots, 1)*min(calls/slots, 1))
	wait := max(0, calls-slots) / slots * max(pool.typicalLatency, typical) * slowness
	lag := float64(candidate.processorLag) * ageWeight(now.Sub(candidate.reportedAt), pool.balancer.Staleness)
	rateWait := float64(max(0, candidate.rateWait-now.Sub(candidate.reportedAt)))
	return (ownTime + wait + lag + rateWait) * (1 + failureCostFactor*candidate.failureShare)
}

// callsAtTarget estimates how many calls run or wait at the target: its last
// reported load, weighted by age, plus the calls that this node sent to it since.
// It is at least the number of calls in flight from this node.
func (endpoint *endpoint) callsAtTarget(now time.Time, staleness time.Duration) float64 {
	reported := float64(endpoint.load) * float64(max(endpoint.target.Slots, 1)) * ageWeight(now.Sub(endpoint.reportedAt), staleness)
	return max(reported+float64(endpoint.inFlight-endpoint.inFlightAtReport), float64(endpoint.inFlight))
}

// currentSlowness is the target's latency relative to the average of the kinds of
// its calls. Without new samples it decays towards one.
func (endpoint *endpoint) currentSlowness(now time.Time, staleness time.Duration) float64 {
	if endpoint.slowness == 0 {
		return 1
	}
	return 1 + (endpoint.slowness-1)*ageWeight(now.Sub(endpoint.measuredAt), slownessStalenessFactor*staleness)
}

// slownessStalenessFactor is how many times longer a target's slowness counts than
// its load.
const slownessStalenessFactor = 10

// updateKindStats updates the averages of a kind and the slowness of the target
// relative to them. It prefers the target's own time to the latency: the waits for
// other services would be as long at any other target, and vary by more than
// targets differ.
func (pool *servicePool) updateKindStats(kind request.KindName, responder *endpoint, answer Answer) {
	if kind == "" || answer.Latency <= 0 {
		return
	}
	latency, bytes := float64(cmp.Or(answer.OwnTime, answer.Latency)), float64(answer.Bytes)
	if pool.kindStats == nil {
		pool.kindStats = make(map[request.KindName]*kindStats)
	}
	stats := pool.kindStats[kind]
	if stats == nil || answer.OwnTime > 0 && !stats.latencyIsOwnTime {
		stats = &kindStats{latency: latency, bytes: bytes, latencyIsOwnTime: answer.OwnTime > 0}
		pool.kindStats[kind] = stats
	}
	stats.bytes += (bytes - stats.bytes) * kindAverageGain
	if answer.OwnTime == 0 && stats.latencyIsOwnTime {
		// The answer reports a failure, or has not arrived completely.
		return
	}
	ratio := min(latency/stats.latency, maxSlowness)
	if responder.slowness == 0 {
		responder.slowness = 1
	}
	responder.slowness += (ratio - responder.slowness) * slownessGain
	stats.latency += (latency - stats.latency) * kindAverageGain
}
