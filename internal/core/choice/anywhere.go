package choice

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// What the distance to a target costs, as time that a call would rather wait
// nearby. Both are above the round trip itself, since bytes between failure
// domains and far more those between regions are paid for.
const (
	regionDistance = 12 * time.Millisecond
	acrossDistance = 120 * time.Millisecond
)

const (
	// kindGain is the gain of the typical latency of a kind.
	kindGain = 0.02
	// slownessGain is the gain of a target's latency relative to its kind.
	slownessGain = 0.1
	// mostSlowness bounds how much one target is thought slower than others.
	mostSlowness = 20
	// crowding is the share of a call's time that a full target adds to it
	// before anything waits.
	crowding = 0.4
	// costNoise is the relative spread of estimates, so that nodes with the same
	// reports do not all choose the same target.
	costNoise = 0.2
)

var distances = [tierCount]time.Duration{sameDomain: 0, sameRegion: regionDistance, otherRegion: acrossDistance}

// anywhere takes the target with the least expected time over all tiers, with
// distance as a part of it.
func (p *pool) anywhere(now time.Time, random *rand.Rand, call *Call, chosen selection) *entry {
	var found *entry
	least := 0.0
	for tier := range p.tiers {
		for _, candidate := range p.tiers[tier][:min(len(p.tiers[tier]), p.chooser.PerTier)] {
			if !chosen.allows(now, call, candidate) || !candidate.warm(now, random) {
				continue
			}
			cost := p.expected(now, call.Kind, candidate) * (1 + costNoise*random.Float64())
			cost += float64(distances[tier])
			if found == nil || cost < least {
				found, least = candidate, cost
			}
		}
	}
	return found
}

// expected estimates the time of another call of the kind at the target: its
// own time there, and the wait for a slot.
func (p *pool) expected(now time.Time, kind request.KindName, candidate *entry) float64 {
	typical := p.kinds[kind]
	if typical == 0 {
		typical = max(p.typical, float64(time.Millisecond))
	}
	slowness := candidate.slownessAt(now, p.chooser.Staleness)
	slots := float64(max(candidate.target.Slots, 1))
	used := candidate.used(now, p.chooser.Staleness) + 1
	own := typical * slowness * (1 + crowding*min(used/slots, 1)*min(used/slots, 1))
	wait := max(0, used-slots) / slots * max(p.typical, typical) * slowness
	return (own + wait) * (1 + failureCost*candidate.failures)
}

// used estimates how many calls the target works on or has waiting: what it
// reported last, weighed down with age, and what was sent there since.
func (e *entry) used(now time.Time, staleness time.Duration) float64 {
	reported := float64(e.load) * float64(max(e.target.Slots, 1)) * freshness(now.Sub(e.reportedAt), staleness)
	return max(reported+float64(e.inFlight-e.inFlightThen), float64(e.inFlight))
}

// slownessAt is the target's latency relative to that of its calls' kinds; it
// fades towards one while nothing is measured.
func (e *entry) slownessAt(now time.Time, staleness time.Duration) float64 {
	if e.slowness == 0 {
		return 1
	}
	return 1 + (e.slowness-1)*freshness(now.Sub(e.measuredAt), slownessMemory*staleness)
}

// slownessMemory is how much longer a target's speed is remembered than its
// load.
const slownessMemory = 10

// compare follows how long calls of a kind take, and how the target does
// relative to that.
func (p *pool) compare(kind request.KindName, judged *entry, latency time.Duration) {
	if kind == "" || latency <= 0 {
		return
	}
	if p.kinds == nil {
		p.kinds = make(map[request.KindName]float64)
	}
	typical, known := p.kinds[kind]
	if !known {
		typical = float64(latency)
	}
	ratio := min(float64(latency)/typical, mostSlowness)
	if judged.slowness == 0 {
		judged.slowness = 1
	}
	judged.slowness += (ratio - judged.slowness) * slownessGain
	p.kinds[kind] = typical + (float64(latency)-typical)*kindGain
}
