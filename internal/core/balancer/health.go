package balancer

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// recordAnswer ends a call and updates the state of its target by the answer.
func (pool *servicePool) recordAnswer(now time.Time, responder *endpoint, call Call, answer Answer) {
	if responder.inFlight > 0 {
		responder.inFlight--
	}
	wasProbe := responder.probing
	responder.probing = false
	switch answer.Result {
	case Succeeded:
		responder.recordReport(now, answer)
		responder.paceByRate(now, answer, call.Priority)
		responder.recordLatency(now, answer.Latency)
		pool.updateKindStats(call.Kind, responder, answer)
		pool.recordLatency(answer.Latency)
		responder.failureShare -= responder.failureShare * failureAverageGain
		pool.readmit(now, responder)
	case Refused:
		responder.recordReport(now, answer)
		responder.recordRefusal(now.Add(responder.refusalHold(now, answer, pool.balancer.RefusalHold)), now, call.Priority)
		pool.readmit(now, responder)
	case DeadlineExceeded:
		if float64(answer.Latency) > lateLatencyFactor*pool.typicalLatency {
			pool.recordFailure(now, responder, wasProbe)
		}
	case Failed:
		pool.recordFailure(now, responder, wasProbe)
	case Died:
		pool.eject(now, responder, wasProbe)
	case Unreachable:
		responder.markUnreachable(now)
		pool.eject(now, responder, wasProbe)
	case ShuttingDown:
		responder.drainingUntil = now.Add(drainingHold)
	case Neutral:
	}
}

// recordFailure counts a failure. It ejects a target that fails too often or failed
// a probe.
func (pool *servicePool) recordFailure(now time.Time, responder *endpoint, wasProbe bool) {
	responder.failureShare += (1 - responder.failureShare) * failureAverageGain
	if wasProbe || responder.failureShare > ejectionFailureShare {
		pool.eject(now, responder, wasProbe)
	}
}

// paceByRate holds calls back from a target with a rate limit after a success, for a time
// that shrinks with each.
func (endpoint *endpoint) paceByRate(now time.Time, answer Answer, priority request.Priority) {
	if !answer.RateLimited {
		endpoint.rateHold = 0
		return
	}
	endpoint.rateHold = time.Duration(float64(endpoint.rateHold) * rateHoldDecrease)
	if endpoint.rateHold > 0 && !now.Before(endpoint.refusedUntil) {
		endpoint.recordRefusal(now.Add(endpoint.rateHold), now, priority)
	}
}

// refusalHold is how long a target that has just refused a call gets no others. Under a
// rate limit the time doubles with each refusal and shrinks with each success, so that the
// nodes that call the target share its limit.
func (endpoint *endpoint) refusalHold(now time.Time, answer Answer, usual time.Duration) time.Duration {
	if !answer.RateLimited {
		return usual
	}
	if now.Before(endpoint.refusedUntil) {
		// The call was sent before the last refusal arrived.
		return max(endpoint.rateHold, usual)
	}
	endpoint.rateHold = min(max(2*endpoint.rateHold, answer.RateWait, usual), maxRateHold)
	return endpoint.rateHold
}

// recordRefusal holds back calls up to the refused priority until the given time.
// During an earlier hold the higher of the two priorities counts.
func (endpoint *endpoint) recordRefusal(until, now time.Time, priority request.Priority) {
	if now.Before(endpoint.refusedUntil) {
		priority = max(priority, endpoint.refusedPriority)
	}
	endpoint.refusedPriority = priority
	endpoint.refusedUntil = until
}

// markUnreachable records since when the target is unreachable.
func (endpoint *endpoint) markUnreachable(now time.Time) {
	if !endpoint.unreachable {
		endpoint.unreachableSince = now
	}
	endpoint.unreachable = true
}

// eject excludes the target from picks for a time that doubles with each failed
// probe. Other failures during an ejection do not prolong it.
func (pool *servicePool) eject(now time.Time, failed *endpoint, wasProbe bool) {
	if failed.ejected && !wasProbe && now.Before(failed.ejectedUntil) {
		return
	}
	failed.ejectionTime = min(max(2*failed.ejectionTime, pool.balancer.EjectionTime), pool.balancer.MaxEjectionTime)
	if !failed.ejected {
		pool.ejectedCount++
	}
	failed.ejected = true
	failed.ejectedUntil = now.Add(failed.ejectionTime)
}

// readmit marks the target as reachable and, if it was ejected, takes it back with
// a traffic share that grows. The ejection time starts at its minimum again once
// MaxEjectionTime has passed since the last ejection.
func (pool *servicePool) readmit(now time.Time, recovered *endpoint) {
	recovered.unreachable = false
	if !recovered.ejected {
		if now.Sub(recovered.ejectedUntil) > pool.balancer.MaxEjectionTime {
			recovered.ejectionTime = 0
		}
		return
	}
	recovered.ejected = false
	pool.ejectedCount--
	recovered.failureShare = 0
	recovered.warmupStart = now
	recovered.warmupTime = ReadmitWarmupTime
}
