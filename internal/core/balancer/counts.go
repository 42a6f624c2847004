package balancer

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// TargetCounts counts the targets of a service by their state as this node knows
// it. A target may be counted in several fields.
type TargetCounts struct {
	Known       int
	Connected   int
	Draining    int
	Unreachable int
	Ejected     int
	WarmingUp   int
	Refusing    int
}

// CountTargets counts the targets of a service by state. Refusing counts those that
// would refuse a call of the priority.
func (balancer *Balancer) CountTargets(now time.Time, service request.ServiceName, priority request.Priority) TargetCounts {
	counts := TargetCounts{}
	pool := balancer.poolOf(service)
	if pool == nil {
		return counts
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	for _, candidate := range pool.endpoints {
		counts.Known++
		counts.Connected += countIf(candidate.connected)
		counts.Draining += countIf(candidate.draining(now))
		counts.Unreachable += countIf(candidate.unreachable)
		counts.Ejected += countIf(candidate.ejected)
		counts.WarmingUp += countIf(candidate.warmupTime > 0 && now.Sub(candidate.warmupStart) < candidate.warmupTime)
		counts.Refusing += countIf(candidate.refuses(now, priority))
	}
	return counts
}

// TotalTargetCount returns the number of targets of all services. Each target has a
// node of its own.
func (balancer *Balancer) TotalTargetCount() int {
	balancer.once.Do(balancer.initialize)
	known := 0
	for _, pool := range *balancer.pools.Load() {
		pool.mutex.Lock()
		known += len(pool.endpoints)
		pool.mutex.Unlock()
	}
	return known
}

func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
