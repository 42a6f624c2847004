package choice

import (
	"math/rand/v2"
	"time"
)

// selection widens what may be picked.
type selection struct {
	// distrusted ignores ejections.
	distrusted bool
	// full takes targets that are thought to refuse.
	full bool
	// unreachable takes targets whose connection broke.
	unreachable bool
}

// best takes the cheaper of two random targets among those that can take the
// call. Targets with a connection go before others.
func (p *pool) best(now time.Time, random *rand.Rand, call *Call, entries []*entry, chosen selection) *entry {
	var usable [maxPerTier]*entry
	count, connected := 0, 0
	for _, candidate := range entries {
		if !chosen.allows(now, call, candidate) {
			continue
		}
		usable[count] = candidate
		if candidate.connected {
			usable[connected], usable[count] = candidate, usable[connected]
			connected++
		}
		count++
	}
	if connected > 0 {
		count = connected
	}
	if count == 0 {
		return nil
	}
	first := draw(now, random, usable[:count])
	second := draw(now, random, usable[:count])
	if first == second {
		return first
	}
	staleness := p.chooser.Staleness
	if second.cost(now, p.typical, staleness) < first.cost(now, p.typical, staleness) {
		return second
	}
	return first
}

func (s selection) allows(now time.Time, call *Call, candidate *entry) bool {
	if candidate.left || excluded(call, candidate) {
		return false
	}
	if candidate.unreachable && !s.unreachable {
		return false
	}
	if candidate.ejected && !s.distrusted {
		return false
	}
	return s.full || !candidate.refuses(now, call.Priority)
}

// draw takes a random target; one whose share still grows is drawn less often.
func draw(now time.Time, random *rand.Rand, usable []*entry) *entry {
	start := random.IntN(len(usable))
	for step := range usable {
		candidate := usable[(start+step)%len(usable)]
		if candidate.warm(now, random) {
			return candidate
		}
	}
	return usable[start]
}
