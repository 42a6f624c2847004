package choice

import (
	"slices"
	"time"
)

// homes are the targets of one failure domain that a fingerprint may go to.
type homes struct {
	list  [homesPerDomain]*entry
	score [homesPerDomain]uint64
	count int
}

// homesOf gives the targets of a failure domain that rank first for the call's
// fingerprint. Calls that run alone get one, which is none of those to avoid
// while there is another. A target that has been out of reach for so long that
// its lease must have ended ranks no more.
func homesOf(now time.Time, call *Call, group []*entry) homes {
	var found homes
	if slices.Contains(call.AvoidDomains, group[0].target.Place.Domain) {
		return found
	}
	limit := homesPerDomain
	if call.Alone {
		limit = 1
	}
	for _, candidate := range group {
		if candidate.unreachable && now.Sub(candidate.lostAt) >= unreachableTime {
			continue
		}
		if call.Alone && slices.Contains(call.AvoidNodes, candidate.target.Node) {
			continue
		}
		found.insert(candidate, mix(uint64(call.Fingerprint)^candidate.hash), limit)
	}
	if found.count == 0 && call.Alone {
		return avoidedHome(call, group)
	}
	return found
}

func avoidedHome(call *Call, group []*entry) homes {
	var found homes
	for _, candidate := range group {
		found.insert(candidate, mix(uint64(call.Fingerprint)^candidate.hash), 1)
	}
	return found
}

func (h *homes) insert(candidate *entry, score uint64, limit int) {
	position := h.count
	for position > 0 && score > h.score[position-1] {
		position--
	}
	if position >= limit {
		return
	}
	h.count = min(h.count+1, limit)
	for index := h.count - 1; index > position; index-- {
		h.list[index], h.score[index] = h.list[index-1], h.score[index-1]
	}
	h.list[position], h.score[position] = candidate, score
}

// isHome says whether the call may go to the target at all.
func (p *pool) isHome(now time.Time, call *Call, tier int, candidate *entry) bool {
	if call.Fingerprint == 0 {
		return true
	}
	for _, group := range p.domains[tier] {
		if group[0].target.Place != candidate.target.Place {
			continue
		}
		found := homesOf(now, call, group)
		return slices.Contains(found.list[:found.count], candidate)
	}
	return false
}

// mix spreads the bits of a hash: the finalizer of SplitMix64 (Steele, Lea and
// Flood, 2014).
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
