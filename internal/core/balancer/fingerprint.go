package balancer

import (
	"slices"
	"time"
)

// fingerprintTargets are the targets of one failure domain that calls with a
// fingerprint may go to, highest weight first.
type fingerprintTargets struct {
	endpoints [fingerprintTargetsPerDomain]*endpoint
	weights   [fingerprintTargetsPerDomain]uint64
	count     int
}

// targetsForFingerprint returns the targets of a failure domain that rank first for
// the call's fingerprint. A call that is limited to one target gets one of
// AvoidNodes only if there is no other target. Targets that have been unreachable
// for so long that their lease must have expired are left out.
func targetsForFingerprint(now time.Time, call *Call, group []*endpoint) fingerprintTargets {
	var allowed fingerprintTargets
	if slices.Contains(call.AvoidDomains, group[0].target.Place.Domain) {
		return allowed
	}
	limit := fingerprintTargetsPerDomain
	if call.SingleTarget {
		limit = 1
	}
	for _, candidate := range group {
		if candidate.unreachable && now.Sub(candidate.unreachableSince) >= unreachableLeaseTime {
			continue
		}
		if call.SingleTarget && slices.Contains(call.AvoidNodes, candidate.target.Node) {
			continue
		}
		allowed.insert(candidate, mixBits(uint64(call.Fingerprint)^candidate.hash), limit)
	}
	if allowed.count == 0 && call.SingleTarget {
		return firstForFingerprint(call, group)
	}
	return allowed
}

// firstForFingerprint returns the target that ranks first for the call's
// fingerprint, even if it is unreachable or one of AvoidNodes.
func firstForFingerprint(call *Call, group []*endpoint) fingerprintTargets {
	var allowed fingerprintTargets
	for _, candidate := range group {
		allowed.insert(candidate, mixBits(uint64(call.Fingerprint)^candidate.hash), 1)
	}
	return allowed
}

func (allowed *fingerprintTargets) insert(candidate *endpoint, weight uint64, limit int) {
	position := allowed.count
	for position > 0 && weight > allowed.weights[position-1] {
		position--
	}
	if position >= limit {
		return
	}
	allowed.count = min(allowed.count+1, limit)
	for index := allowed.count - 1; index > position; index-- {
		allowed.endpoints[index], allowed.weights[index] = allowed.endpoints[index-1], allowed.weights[index-1]
	}
	allowed.endpoints[position], allowed.weights[position] = candidate, weight
}

// fingerprintAllows reports whether the call's fingerprint permits the target.
func (pool *servicePool) fingerprintAllows(now time.Time, call *Call, tier int, candidate *endpoint) bool {
	if call.Fingerprint == 0 {
		return true
	}
	for _, group := range pool.tierDomains[tier] {
		if group[0].target.Place != candidate.target.Place {
			continue
		}
		allowed := targetsForFingerprint(now, call, group)
		return slices.Contains(allowed.endpoints[:allowed.count], candidate)
	}
	return false
}

// mixBits is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mixBits(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
