package balancer

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

// servicePool holds the targets of one service and its typical latency.
// replaceTargets and pick lock the mutex; the callers of the other methods hold it.
type servicePool struct {
	balancer *Balancer

	mutex     sync.Mutex
	endpoints map[request.NodeID]*endpoint
	// tiers holds the targets of each tier, highest rendezvous weight first.
	tiers [tierCount][]*endpoint
	// tierDomains groups the targets of each tier by failure domain.
	tierDomains [tierCount][][]*endpoint
	// typicalLatency is a moving average over all targets, in nanoseconds.
	typicalLatency float64
	ejectedCount   int
	// kindStats holds the averages of each kind of call.
	kindStats map[request.KindName]*kindStats
}

func newServicePool(balancer *Balancer) *servicePool {
	return &servicePool{balancer: balancer, endpoints: map[request.NodeID]*endpoint{}}
}

// replaceTargets replaces the list of targets and keeps the state of those that
// remain.
func (pool *servicePool) replaceTargets(now time.Time, targets []Target) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.ejectedCount = 0
	var ranked [tierCount][]*endpoint
	for _, target := range targets {
		if target.State == Draining {
			continue
		}
		tier := pool.tierOf(target.Place)
		ranked[tier] = append(ranked[tier], pool.endpointOf(now, target))
	}
	pool.endpoints = make(map[request.NodeID]*endpoint, len(targets))
	for tier, candidates := range ranked {
		slices.SortFunc(candidates, func(left, right *endpoint) int { return cmp.Compare(right.weight, left.weight) })
		pool.tiers[tier] = candidates
		pool.tierDomains[tier] = groupByDomain(candidates)
		for _, member := range candidates {
			pool.endpoints[member.target.Node] = member
			if member.ejected {
				pool.ejectedCount++
			}
		}
	}
}

func (pool *servicePool) tierOf(place request.Place) int {
	if place.Domain == pool.balancer.Place.Domain && place.Region == pool.balancer.Place.Region {
		return sameDomain
	}
	if place.Region == pool.balancer.Place.Region {
		return sameRegion
	}
	return otherRegion
}

// endpointOf returns the endpoint of the target, a new one if the target is not
// known or its node has restarted or moved.
func (pool *servicePool) endpointOf(now time.Time, target Target) *endpoint {
	current := pool.endpoints[target.Node]
	if current == nil || current.target.Incarnation != target.Incarnation || current.target.Address != target.Address {
		current = &endpoint{hash: xxhash.Sum64String(string(target.Node)), weight: rendezvousWeight(pool.balancer.Self, target.Node)}
	}
	if target.State == Cold && current.target.State != Cold {
		current.warmupStart = now
		current.warmupTime = pool.balancer.WarmupTime
	}
	if target.State == Ready && current.target.State == Cold {
		current.warmupTime = 0
	}
	current.target = target
	return current
}

func groupByDomain(endpoints []*endpoint) [][]*endpoint {
	var groups [][]*endpoint
	for _, member := range endpoints {
		index := slices.IndexFunc(groups, func(group []*endpoint) bool {
			return group[0].target.Place == member.target.Place
		})
		if index < 0 {
			groups = append(groups, []*endpoint{member})
			continue
		}
		groups[index] = append(groups[index], member)
	}
	return groups
}

// rendezvousWeight is the weight of a target for a node in rendezvous hashing.
func rendezvousWeight(self, target request.NodeID) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(self))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(string(target))
	return digest.Sum64()
}

func (pool *servicePool) pick(now time.Time, random *rand.Rand, call *Call) (Choice, request.Code) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if due := pool.dueProbe(now, call); due != nil {
		due.probing = true
		due.ejectedUntil = now.Add(due.ejectionTime)
		return pool.newChoice(due), request.OK
	}
	ignoreEjected := pool.mostEjected(now)
	if call.AllTiers && !call.SingleTarget {
		return pool.pickAcrossTiers(now, random, call, ignoreEjected)
	}
	code := request.NoTarget
	for tier := range pool.tiers {
		found := pool.pickInTier(now, random, call, tier, eligibility{ejected: ignoreEjected})
		if found == nil {
			continue
		}
		if tier == otherRegion && call.Unimportant && pool.balancer.Links.Full(now, found.target.Place.Region) {
			code = request.LinkFull
			continue
		}
		return pool.newChoice(found), request.OK
	}
	if code == request.LinkFull {
		return Choice{}, code
	}
	if found := pool.pickFallback(now, random, call, ignoreEjected); found != nil {
		return pool.newChoice(found), request.OK
	}
	return Choice{}, request.NoTarget
}

// pickAcrossTiers returns the target with the least expected time. Targets that
// probably refuse the call or are unreachable are picked only if there is no other.
func (pool *servicePool) pickAcrossTiers(now time.Time, random *rand.Rand, call *Call, ignoreEjected bool) (Choice, request.Code) {
	steps := [...]eligibility{
		{ejected: ignoreEjected},
		{ejected: ignoreEjected, refusing: true},
		{ejected: true, refusing: true, unreachable: true, avoided: true},
	}
	for index, eligible := range steps {
		found, eligibleCount := pool.leastExpectedTime(now, random, call, eligible)
		if found == nil {
			continue
		}
		choice := pool.newChoice(found)
		choice.HasAlternative = index == 0 && eligibleCount > 1
		return choice, request.OK
	}
	return Choice{}, request.NoTarget
}

// pickFallback returns the nearest target that probably refuses the call, or else
// one that is ejected or unreachable. Ejected targets come later, because a
// refusal is the target's own statement. Unimportant calls still use no full link.
func (pool *servicePool) pickFallback(now time.Time, random *rand.Rand, call *Call, ignoreEjected bool) *endpoint {
	steps := [...]eligibility{
		{ejected: ignoreEjected, refusing: true},
		{ejected: true, refusing: true, unreachable: true},
		{ejected: true, refusing: true, unreachable: true, avoided: true},
	}
	for _, eligible := range steps {
		for tier := range pool.tiers {
			found := pool.pickInTier(now, random, call, tier, eligible)
			if found == nil {
				continue
			}
			if tier == otherRegion && call.Unimportant && pool.balancer.Links.Full(now, found.target.Place.Region) {
				continue
			}
			return found
		}
	}
	return nil
}

func (pool *servicePool) newChoice(picked *endpoint) Choice {
	return Choice{
		Target:      picked.target,
		CrossRegion: picked.target.Place.Region != pool.balancer.Place.Region,
		pool:        pool,
		endpoint:    picked,
	}
}

// dueProbe returns an ejected target that this call should probe, or nil. A call
// that may not be repeated probes a target later than others, by MaxEjectionTime.
func (pool *servicePool) dueProbe(now time.Time, call *Call) *endpoint {
	dueBy := now
	if call.SingleTarget || pool.ejectedCount == 0 {
		return nil
	}
	if !call.Repeatable {
		dueBy = now.Add(-pool.balancer.MaxEjectionTime)
	}
	for tier := range pool.tiers {
		for _, candidate := range pool.tiers[tier] {
			if candidate.probeDue(dueBy) && !candidate.draining(now) && !excluded(call, candidate) && pool.fingerprintAllows(now, call, tier, candidate) {
				return candidate
			}
		}
	}
	return nil
}

// mostEjected reports whether more than half of the reachable targets are ejected,
// so that the cause is probably not the targets. Unreachable targets certainly fail
// and are not counted.
func (pool *servicePool) mostEjected(now time.Time) bool {
	if pool.ejectedCount == 0 {
		return false
	}
	reachable, ejected := 0, 0
	for tier := range pool.tiers {
		for _, candidate := range pool.tiers[tier] {
			if candidate.unreachable || candidate.draining(now) {
				continue
			}
			reachable++
			if candidate.ejected {
				ejected++
			}
		}
	}
	return 2*ejected > reachable
}

// recordLatency updates the typical latency of the service.
func (pool *servicePool) recordLatency(latency time.Duration) {
	sample := float64(max(latency, 0))
	if pool.typicalLatency == 0 {
		pool.typicalLatency = sample
	}
	pool.typicalLatency += (sample - pool.typicalLatency) * latencyAverageGain / 4
}

func excluded(call *Call, candidate *endpoint) bool {
	return slices.Contains(call.Exclude, candidate.target.Node)
}
