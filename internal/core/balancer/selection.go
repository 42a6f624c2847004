package balancer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// eligibility tells which targets may be picked in addition to healthy ones.
type eligibility struct {
	// ejected includes ejected targets.
	ejected bool
	// refusing includes targets that probably refuse the call.
	refusing bool
	// unreachable includes targets that could not be reached.
	unreachable bool
	// avoided includes the AvoidNodes of the call.
	avoided bool
}

// pickInTier returns the cheaper of two random eligible targets of a tier, or nil.
// Targets without a connection are considered only if no other is eligible.
func (pool *servicePool) pickInTier(now time.Time, random *rand.Rand, call *Call, tier int, eligible eligibility) *endpoint {
	var found candidateList
	if call.Fingerprint == 0 {
		for _, candidate := range pool.tiers[tier][:min(len(pool.tiers[tier]), pool.balancer.TargetsPerTier)] {
			found.add(now, call, candidate, eligible)
		}
	} else {
		for _, group := range pool.tierDomains[tier] {
			allowed := targetsForFingerprint(now, call, group)
			for _, candidate := range allowed.endpoints[:allowed.count] {
				found.add(now, call, candidate, eligible)
			}
		}
	}
	usable := found.preferred()
	if len(usable) == 0 {
		return nil
	}
	first := drawTarget(now, random, usable)
	second := drawTarget(now, random, usable)
	if first == second {
		return first
	}
	staleness := pool.balancer.Staleness
	if second.cost(now, pool.typicalLatency, staleness) < first.cost(now, pool.typicalLatency, staleness) {
		return second
	}
	return first
}

// candidateList collects the eligible targets for a call, those with a connection
// first.
type candidateList struct {
	endpoints [maxTargetsPerTier]*endpoint
	count     int
	connected int
}

func (candidates *candidateList) add(now time.Time, call *Call, candidate *endpoint, eligible eligibility) {
	if candidates.count == len(candidates.endpoints) || !eligible.allows(now, call, candidate) {
		return
	}
	candidates.endpoints[candidates.count] = candidate
	if candidate.connected {
		candidates.endpoints[candidates.connected], candidates.endpoints[candidates.count] = candidate, candidates.endpoints[candidates.connected]
		candidates.connected++
	}
	candidates.count++
}

func (candidates *candidateList) preferred() []*endpoint {
	if candidates.connected > 0 {
		return candidates.endpoints[:candidates.connected]
	}
	return candidates.endpoints[:candidates.count]
}

func (eligible eligibility) allows(now time.Time, call *Call, candidate *endpoint) bool {
	if candidate.draining(now) || excluded(call, candidate) {
		return false
	}
	if !eligible.avoided && slices.Contains(call.AvoidNodes, candidate.target.Node) {
		return false
	}
	if candidate.unreachable && !eligible.unreachable {
		return false
	}
	if candidate.ejected && !eligible.ejected {
		return false
	}
	return eligible.refusing || !candidate.refuses(now, call.Priority)
}

// drawTarget returns a random target. A target that warms up is drawn less often.
func drawTarget(now time.Time, random *rand.Rand, usable []*endpoint) *endpoint {
	start := random.IntN(len(usable))
	for step := range usable {
		candidate := usable[(start+step)%len(usable)]
		if candidate.drawWarm(now, random, 1) {
			return candidate
		}
	}
	return usable[start]
}
