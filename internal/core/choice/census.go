package choice

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Census counts the targets of a service by their state as this node knows it. A
// target may be counted in several fields.
type Census struct {
	Known       int
	Connected   int
	Leaving     int
	Unreachable int
	Ejected     int
	Warming     int
	Refusing    int
}

// Census counts the targets of a service by state. Refusing counts those that
// would refuse a call of the priority.
func (chooser *Chooser) Census(now time.Time, service request.ServiceName, priority request.Priority) Census {
	census := Census{}
	servicePool := chooser.poolOf(service)
	if servicePool == nil {
		return census
	}
	servicePool.mutex.Lock()
	defer servicePool.mutex.Unlock()
	for _, candidate := range servicePool.endpoints {
		census.Known++
		census.Connected += countIf(candidate.connected)
		census.Leaving += countIf(candidate.draining(now))
		census.Unreachable += countIf(candidate.unreachable)
		census.Ejected += countIf(candidate.ejected)
		census.Warming += countIf(candidate.warmupTime > 0 && now.Sub(candidate.warmupStart) < candidate.warmupTime)
		census.Refusing += countIf(candidate.refuses(now, priority))
	}
	return census
}

// Known returns the number of targets of all services. Each target has a node of
// its own.
func (chooser *Chooser) Known() int {
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
