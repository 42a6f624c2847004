package node

import (
	"sync"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// edge is the retry budget from this node to one service.
type edge struct {
	lock   sync.Mutex
	budget retry.Edge
}

func (ed *edge) success() {
	ed.lock.Lock()
	defer ed.lock.Unlock()
	ed.budget.Success()
}

type edgeTable struct {
	lock  sync.Mutex
	edges map[request.ServiceName]*edge
}

// services lists the services that were called so far.
func (et *edgeTable) services() []request.ServiceName {
	et.lock.Lock()
	defer et.lock.Unlock()
	names := make([]request.ServiceName, 0, len(et.edges))
	for name := range et.edges {
		names = append(names, name)
	}
	return names
}

func (et *edgeTable) of(service request.ServiceName) *edge {
	et.lock.Lock()
	defer et.lock.Unlock()
	found := et.edges[service]
	if found == nil {
		found = &edge{}
		if et.edges == nil {
			et.edges = make(map[request.ServiceName]*edge)
		}
		et.edges[service] = found
	}
	return found
}
