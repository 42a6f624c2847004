package node

import (
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// edge is the retry budget from this node to one service.
type edge struct {
	lock   sync.Mutex
	budget retry.Edge
	// fixed says that the share is not that of the configuration.
	fixed bool
}

// called counts a call of the service.
func (ed *edge) called(now time.Time) {
	ed.lock.Lock()
	defer ed.lock.Unlock()
	ed.budget.Called(now)
}

// success adds the share of a retry that the configuration in force gives.
func (ed *edge) success(share float64) {
	ed.lock.Lock()
	defer ed.lock.Unlock()
	if !ed.fixed {
		ed.budget.Share = share
	}
	ed.budget.Success()
}

// SetRetryBurst sets how many retries to each service this node may make on top
// of its share of successes.
func (no *Node) SetRetryBurst(burst float64) {
	table := &no.edges
	table.lock.Lock()
	defer table.lock.Unlock()
	table.budget.Burst = burst
	for _, ed := range table.edges {
		ed.lock.Lock()
		ed.budget.Burst = burst
		ed.lock.Unlock()
	}
}

type edgeTable struct {
	lock  sync.Mutex
	edges map[request.ServiceName]*edge
	// budget is what each edge starts with; a share in it goes before that of
	// the configuration.
	budget retry.Edge
}

// services lists the services that were called so far.
func (table *edgeTable) services() []request.ServiceName {
	table.lock.Lock()
	defer table.lock.Unlock()
	names := make([]request.ServiceName, 0, len(table.edges))
	for name := range table.edges {
		names = append(names, name)
	}
	return names
}

func (table *edgeTable) of(service request.ServiceName) *edge {
	table.lock.Lock()
	defer table.lock.Unlock()
	found := table.edges[service]
	if found == nil {
		found = &edge{budget: table.budget, fixed: table.budget.Share > 0}
		if table.edges == nil {
			table.edges = make(map[request.ServiceName]*edge)
		}
		table.edges[service] = found
	}
	return found
}
