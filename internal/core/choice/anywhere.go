package choice

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// What the distance to a target costs, as time that a call would rather wait
// nearby: somewhat above the round trip, and a time for each byte, since bytes
// between failure domains are paid for, and those between regions eight to ten
// times as much.
const (
	regionDistance = 8 * time.Millisecond
	acrossDistance = 60 * time.Millisecond
	regionPerByte  = 2 * time.Microsecond
	acrossPerByte  = 20 * time.Microsecond
	// usualBytes stands for the answer of a kind that is not known yet.
	usualBytes = 2000
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
	// mostNoise bounds it well below the distance to another region, also for calls
	// that take long.
	mostNoise = 15 * time.Millisecond
)

var (
	distances    = [tierCount]time.Duration{sameDomain: 0, sameRegion: regionDistance, otherRegion: acrossDistance}
	perByteCosts = [tierCount]time.Duration{sameDomain: 0, sameRegion: regionPerByte, otherRegion: acrossPerByte}
)

// kindUsage is what calls of one kind usually take.
type kindUsage struct {
	latency float64
	bytes   float64
	// own says that latency is of targets' own times.
	own bool
}

// bytes estimates what a call moves both ways.
func (p *pool) bytes(call *Call) float64 {
	if usage := p.kinds[call.Kind]; usage != nil {
		return max(usage.bytes, float64(call.Bytes))
	}
	return float64(call.Bytes) + usualBytes
}

// anywhere takes the target with the least expected time over all tiers, with
// distance as a part of it. Where all targets are cold, as after a restart of the
// whole site, none of them has a smaller share for it.
func (p *pool) anywhere(now time.Time, random *rand.Rand, call *Call, chosen selection) *entry {
	var found *entry
	least, warmest := 0.0, 0.0
	bytes := p.bytes(call)
	if !chosen.full {
		p.eachAllowed(now, call, chosen, func(_ int, candidate *entry) { warmest = max(warmest, candidate.share(now)) })
	}
	p.eachAllowed(now, call, chosen, func(tier int, candidate *entry) {
		if !chosen.full && !candidate.warm(now, random, warmest) {
			return
		}
		cost := p.expected(now, call.Kind, candidate)
		cost += min(costNoise*cost, float64(mostNoise)) * random.Float64()
		cost += float64(distances[tier]) + bytes*float64(perByteCosts[tier])
		if found == nil || cost < least {
			found, least = candidate, cost
		}
	})
	return found
}

// eachAllowed visits the targets of the subset that can take the call.
func (p *pool) eachAllowed(now time.Time, call *Call, chosen selection, visit func(tier int, candidate *entry)) {
	for tier := range p.tiers {
		for _, candidate := range p.tiers[tier][:min(len(p.tiers[tier]), p.chooser.PerTier)] {
			if chosen.allows(now, call, candidate) {
				visit(tier, candidate)
			}
		}
	}
}

// expected estimates the time of another call of the kind at the target: its
// own time there, the wait for a slot, and that for the processor of its node.
func (p *pool) expected(now time.Time, kind request.KindName, candidate *entry) float64 {
	typical := max(p.typical, float64(time.Millisecond))
	if usage := p.kinds[kind]; usage != nil {
		typical = usage.latency
	}
	slowness := candidate.slownessAt(now, p.chooser.Staleness)
	slots := float64(max(candidate.target.Slots, 1))
	used := candidate.used(now, p.chooser.Staleness) + 1
	own := typical * slowness * (1 + crowding*min(used/slots, 1)*min(used/slots, 1))
	wait := max(0, used-slots) / slots * max(p.typical, typical) * slowness
	lag := float64(candidate.lag) * freshness(now.Sub(candidate.reportedAt), p.chooser.Staleness)
	return (own + wait + lag) * (1 + failureCost*candidate.failures)
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

// compare follows how long calls of a kind take at targets, and how the target does
// relative to that. What a target waits for others would take as long beside any
// other target, and varies by more than targets differ.
func (p *pool) compare(kind request.KindName, judged *entry, answer Answer) {
	if kind == "" || answer.Latency <= 0 {
		return
	}
	latency, bytes := float64(cmp.Or(answer.Own, answer.Latency)), float64(answer.Bytes)
	if p.kinds == nil {
		p.kinds = make(map[request.KindName]*kindUsage)
	}
	usage := p.kinds[kind]
	if usage == nil || answer.Own > 0 && !usage.own {
		usage = &kindUsage{latency: latency, bytes: bytes, own: answer.Own > 0}
		p.kinds[kind] = usage
	}
	usage.bytes += (bytes - usage.bytes) * kindGain
	if answer.Own == 0 && usage.own {
		// A failed answer, or one that is still on its way.
		return
	}
	ratio := min(latency/usage.latency, mostSlowness)
	if judged.slowness == 0 {
		judged.slowness = 1
	}
	judged.slowness += (ratio - judged.slowness) * slownessGain
	usage.latency += (latency - usage.latency) * kindGain
}
