package choice

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// The tiers, nearest first.
const (
	sameDomain = iota
	sameRegion
	otherRegion
	tierCount
)

// pool holds the subset of the targets of one service.
type pool struct {
	chooser *Chooser

	mutex   sync.Mutex
	entries map[request.NodeID]*entry
	tiers   [tierCount][]*entry
	domains [tierCount][][]*entry
	typical float64
	ejected int
	// kinds holds what calls of each kind usually take.
	kinds map[request.KindName]*kindUsage
}

func newPool(chooser *Chooser) *pool {
	return &pool{chooser: chooser, entries: map[request.NodeID]*entry{}}
}

// replace takes the subset out of a whole list and keeps what is known of the
// targets that stay.
func (p *pool) replace(now time.Time, targets []Target) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ejected = 0
	var ranked [tierCount][]*entry
	for _, target := range targets {
		if target.State == Draining {
			continue
		}
		tier := p.tier(target.Place)
		ranked[tier] = append(ranked[tier], p.take(now, target))
	}
	p.entries = make(map[request.NodeID]*entry, len(targets))
	for tier, candidates := range ranked {
		slices.SortFunc(candidates, func(left, right *entry) int { return cmp.Compare(right.rank, left.rank) })
		p.tiers[tier] = candidates
		p.domains[tier] = groupByDomain(candidates)
		for _, kept := range candidates {
			p.entries[kept.target.Node] = kept
			if kept.ejected {
				p.ejected++
			}
		}
	}
}

func (p *pool) tier(place request.Place) int {
	if place.Domain == p.chooser.Place.Domain && place.Region == p.chooser.Place.Region {
		return sameDomain
	}
	if place.Region == p.chooser.Place.Region {
		return sameRegion
	}
	return otherRegion
}

// take gives the known entry of the target or a new one.
func (p *pool) take(now time.Time, target Target) *entry {
	known := p.entries[target.Node]
	if known == nil || known.target.Incarnation != target.Incarnation || known.target.Address != target.Address {
		known = &entry{hash: xxhash.Sum64String(string(target.Node)), rank: rank(p.chooser.Self, target.Node)}
	}
	if target.State == Cold && known.target.State != Cold {
		known.warmFrom = now
		known.warmTime = p.chooser.WarmTime
	}
	if target.State == Ready && known.target.State == Cold {
		known.warmTime = 0
	}
	known.target = target
	return known
}

func groupByDomain(entries []*entry) [][]*entry {
	var groups [][]*entry
	for _, member := range entries {
		index := slices.IndexFunc(groups, func(group []*entry) bool {
			return group[0].target.Place == member.target.Place
		})
		if index < 0 {
			groups = append(groups, []*entry{member})
			continue
		}
		groups[index] = append(groups[index], member)
	}
	return groups
}

// rank is the rendezvous weight of a target for one node.
func rank(self, target request.NodeID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(self))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(target))
	return digest.Sum64()
}

func (p *pool) pick(now time.Time, random *rand.Rand, call *Call) (Choice, request.Code) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if due := p.dueProbe(now, call); due != nil {
		due.probing = true
		due.ejectUntil = now.Add(due.ejection)
		return p.choice(due), request.OK
	}
	distrusted := p.mostFail(now)
	if call.Anywhere {
		return p.pickAnywhere(now, random, call, distrusted)
	}
	code := request.NoTarget
	for tier := range p.tiers {
		found := p.best(now, random, call, tier, selection{distrusted: distrusted})
		if found == nil {
			continue
		}
		if tier == otherRegion && call.Sparing && p.chooser.Links.Full(now, found.target.Place.Region) {
			code = request.LinkFull
			continue
		}
		return p.choice(found), request.OK
	}
	if code == request.LinkFull {
		return Choice{}, code
	}
	if found := p.lastResort(now, random, call, distrusted); found != nil {
		return p.choice(found), request.OK
	}
	return Choice{}, request.NoTarget
}

// pickAnywhere takes the target of the least expected time, and one that is
// thought to refuse, or to be down, only when there is no other.
func (p *pool) pickAnywhere(now time.Time, random *rand.Rand, call *Call, distrusted bool) (Choice, request.Code) {
	wide := [...]selection{
		{distrusted: distrusted},
		{distrusted: distrusted, full: true},
		{distrusted: true, full: true, unreachable: true, avoided: true},
	}
	for _, chosen := range wide {
		if found := p.anywhere(now, random, call, chosen); found != nil {
			return p.choice(found), request.OK
		}
	}
	return Choice{}, request.NoTarget
}

// lastResort takes the nearest target that is thought to refuse, or else one
// that is thought to be down: what a target says itself comes first. Over a
// link that is spared nothing is sent.
func (p *pool) lastResort(now time.Time, random *rand.Rand, call *Call, distrusted bool) *entry {
	wide := [...]selection{
		{distrusted: distrusted, full: true},
		{distrusted: true, full: true, unreachable: true},
		{distrusted: true, full: true, unreachable: true, avoided: true},
	}
	for _, chosen := range wide {
		for tier := range p.tiers {
			found := p.best(now, random, call, tier, chosen)
			if found == nil {
				continue
			}
			if tier == otherRegion && call.Sparing && p.chooser.Links.Full(now, found.target.Place.Region) {
				continue
			}
			return found
		}
	}
	return nil
}

func (p *pool) choice(picked *entry) Choice {
	return Choice{
		Target: picked.target,
		Across: picked.target.Place.Region != p.chooser.Place.Region,
		pool:   p,
		entry:  picked,
	}
}

// dueProbe gives an ejected target that is to be tried with this call.
func (p *pool) dueProbe(now time.Time, call *Call) *entry {
	since := now
	if call.Alone || p.ejected == 0 {
		return nil
	}
	if !call.Repeatable {
		since = now.Add(-p.chooser.MaxEjection)
	}
	for tier := range p.tiers {
		for _, candidate := range p.tiers[tier] {
			if candidate.probeDue(since) && !candidate.leaves(now) && !excluded(call, candidate) && p.isHome(now, call, tier, candidate) {
				return candidate
			}
		}
	}
	return nil
}

// mostFail says whether so many targets seem to fail that the judgement itself
// is in doubt. Targets out of reach are a fact and don't count.
func (p *pool) mostFail(now time.Time) bool {
	if p.ejected == 0 {
		return false
	}
	reachable, failing := 0, 0
	for tier := range p.tiers {
		for _, candidate := range p.tiers[tier] {
			if candidate.unreachable || candidate.leaves(now) {
				continue
			}
			reachable++
			if candidate.ejected {
				failing++
			}
		}
	}
	return 2*failing > reachable
}

// measure follows the latency that is typical of the service.
func (p *pool) measure(latency time.Duration) {
	measured := float64(max(latency, 0))
	if p.typical == 0 {
		p.typical = measured
	}
	p.typical += (measured - p.typical) * latencyGain / 4
}

func excluded(call *Call, candidate *entry) bool {
	return slices.Contains(call.Exclude, candidate.target.Node)
}
