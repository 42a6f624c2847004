package node

import (
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/retry"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// serviceRetries is the retry budget of this node for calls to one service.
type serviceRetries struct {
	lock   sync.Mutex
	budget retry.Budget
	// fixedShare says that the share comes from Node.RetryBudget and not from the
	// configuration.
	fixedShare bool
}

// noteCall counts a call to the service.
func (retries *serviceRetries) noteCall(now time.Time) {
	retries.lock.Lock()
	defer retries.lock.Unlock()
	retries.budget.RecordCall(now)
}

// noteSuccess earns a share of a retry, by default the one of the configuration in
// force.
func (retries *serviceRetries) noteSuccess(share float64) {
	retries.lock.Lock()
	defer retries.lock.Unlock()
	if !retries.fixedShare {
		retries.budget.Share = share
	}
	retries.budget.RecordSuccess()
}

// SetRetryBurst sets how many retries to each service this node may make in addition
// to its share of successful calls.
func (node *Node) SetRetryBurst(burst float64) {
	table := &node.retryTable
	table.lock.Lock()
	defer table.lock.Unlock()
	table.budget.Burst = burst
	for _, retries := range table.byService {
		retries.lock.Lock()
		retries.budget.Burst = burst
		retries.lock.Unlock()
	}
}

type retryTable struct {
	lock      sync.Mutex
	byService map[request.ServiceName]*serviceRetries
	// budget is the initial budget of each service. A share set here takes precedence
	// over that of the configuration.
	budget retry.Budget
}

// services returns the services that were called so far.
func (table *retryTable) services() []request.ServiceName {
	table.lock.Lock()
	defer table.lock.Unlock()
	names := make([]request.ServiceName, 0, len(table.byService))
	for name := range table.byService {
		names = append(names, name)
	}
	return names
}

func (table *retryTable) forService(service request.ServiceName) *serviceRetries {
	table.lock.Lock()
	defer table.lock.Unlock()
	found := table.byService[service]
	if found == nil {
		found = &serviceRetries{budget: table.budget, fixedShare: table.budget.Share > 0}
		if table.byService == nil {
			table.byService = make(map[request.ServiceName]*serviceRetries)
		}
		table.byService[service] = found
	}
	return found
}
