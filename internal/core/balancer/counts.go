package balancer

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// TargetCounts counts the targets of a service by their state as this node knows it. A
// target may be counted in several fields.
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
func (chooser *Balancer) CountTargets(now time.Time, service request.ServiceName, priority request.Priority) TargetCounts {
	census := TargetCounts{}
	servicePool := chooser.poolOf(service)
	if servicePool == nil {
		return census
	}
	servicePool.mutex.Lock()
	defer servicePool.mutex.Unlock()
	for _, candidate := range servicePool.endpoints {
		census.Known++
		census.Connected += countIf(candidate.connected)
		census.Draining += countIf(candidate.draining(now))
		census.Unreachable += countIf(candidate.unreachable)
		census.Ejected += countIf(candidate.ejected)
		census.WarmingUp += countIf(candidate.warmupTime > 0 && now.Sub(candidate.warmupStart) < candidate.warmupTime)
		census.Refusing += countIf(candidate.refuses(now, priority))
	}
	return census
}

// TargetCount returns the number of targets of all services. Each target has a node of
// its own.
func (chooser *Balancer) TargetCount() int {
	chooser.once.Do(chooser.initialize)
	known := 0
	for _, servicePool := range *chooser.pools.Load() {
		servicePool.mutex.Lock()
		known += len(servicePool.endpoints)
		servicePool.mutex.Unlock()
	}
	return known
}

func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
