package choice

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Census counts the targets of a service by what is thought of them. One target
// may count several times.
type Census struct {
	Known       int
	Connected   int
	Leaving     int
	Unreachable int
	Ejected     int
	Warming     int
	Refusing    int
}

// Census tells what a node thinks of the targets of a service, for calls of a
// priority.
func (chooser *Chooser) Census(now time.Time, service request.ServiceName, priority request.Priority) Census {
	census := Census{}
	services := chooser.find(service)
	if services == nil {
		return census
	}
	services.mutex.Lock()
	defer services.mutex.Unlock()
	for _, candidate := range services.entries {
		census.Known++
		census.Connected += one(candidate.connected)
		census.Leaving += one(candidate.leaves(now))
		census.Unreachable += one(candidate.unreachable)
		census.Ejected += one(candidate.ejected)
		census.Warming += one(candidate.warmTime > 0 && now.Sub(candidate.warmFrom) < candidate.warmTime)
		census.Refusing += one(candidate.refuses(now, priority))
	}
	return census
}

// Known counts the targets of all services, of which each has a node.
func (chooser *Chooser) Known() int {
	chooser.once.Do(chooser.prepare)
	known := 0
	for _, services := range *chooser.pools.Load() {
		services.mutex.Lock()
		known += len(services.entries)
		services.mutex.Unlock()
	}
	return known
}

func one(holds bool) int {
	if holds {
		return 1
	}
	return 0
}
