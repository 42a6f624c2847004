package choice

import (
	"math/rand/v2"
	"slices"
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
	// avoided takes targets that the call should rather not go to.
	avoided bool
}

// best takes the cheaper of two random targets among those that can take the
// call. Targets with a connection go before others.
func (p *pool) best(now time.Time, random *rand.Rand, call *Call, tier int, chosen selection) *entry {
	var found candidates
	if call.Fingerprint == 0 {
		for _, candidate := range p.tiers[tier][:min(len(p.tiers[tier]), p.chooser.PerTier)] {
			found.offer(now, call, candidate, chosen)
		}
	} else {
		for _, group := range p.domains[tier] {
			homes := homesOf(now, call, group)
			for _, candidate := range homes.list[:homes.count] {
				found.offer(now, call, candidate, chosen)
			}
		}
	}
	usable := found.usable()
	if len(usable) == 0 {
		return nil
	}
	first := draw(now, random, usable)
	second := draw(now, random, usable)
	if first == second {
		return first
	}
	staleness := p.chooser.Staleness
	if second.cost(now, p.typical, staleness) < first.cost(now, p.typical, staleness) {
		return second
	}
	return first
}

// candidates collects the targets that can take a call, those with a
// connection first.
type candidates struct {
	list      [maxPerTier]*entry
	count     int
	connected int
}

func (c *candidates) offer(now time.Time, call *Call, candidate *entry, chosen selection) {
	if c.count == len(c.list) || !chosen.allows(now, call, candidate) {
		return
	}
	c.list[c.count] = candidate
	if candidate.connected {
		c.list[c.connected], c.list[c.count] = candidate, c.list[c.connected]
		c.connected++
	}
	c.count++
}

func (c *candidates) usable() []*entry {
	if c.connected > 0 {
		return c.list[:c.connected]
	}
	return c.list[:c.count]
}

func (s selection) allows(now time.Time, call *Call, candidate *entry) bool {
	if candidate.leaves(now) || excluded(call, candidate) {
		return false
	}
	if !s.avoided && slices.Contains(call.AvoidNodes, candidate.target.Node) {
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
		if candidate.warm(now, random, 1) {
			return candidate
		}
	}
	return usable[start]
}
