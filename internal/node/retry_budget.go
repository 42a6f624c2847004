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
	// usedByTargetAt is when the local target last called the service.
	usedByTargetAt time.Time
	// spentBelow is the part of the budget that the service's own nodes last reported as
	// spent further down, and spentBelowAt when.
	spentBelow   float64
	spentBelowAt time.Time
}

// spentUnit is all of a retry budget as peers report it.
const spentUnit = 1000

// spentBelowLifetime is how long a report of spent budget counts, and how long a service
// counts as used by the target after a call. Without calls no newer report comes.
const spentBelowLifetime = 2 * time.Second

// spentBelowDecay is the part of a reported value that is passed on. Services that call
// each other would otherwise keep a value alive by reporting it in a cycle.
const spentBelowDecay = 0.9

// noteSpentBelow takes over what a node of the service reports.
func (retries *serviceRetries) noteSpentBelow(now time.Time, spent float64) {
	retries.lock.Lock()
	defer retries.lock.Unlock()
	retries.spentBelow, retries.spentBelowAt = spent, now
}

// currentSpentBelow returns the part of the budget that is spent below the service. The
// lock is held.
func (retries *serviceRetries) currentSpentBelow(now time.Time) float64 {
	if now.Sub(retries.spentBelowAt) > spentBelowLifetime {
		return 0
	}
	return retries.spentBelow
}

// spent returns the parts of the budget that are spent at the service and below it.
func (retries *serviceRetries) spent(now time.Time) (own, below float64) {
	retries.lock.Lock()
	defer retries.lock.Unlock()
	return retries.budget.Spent(now), retries.currentSpentBelow(now)
}

// noteInherited counts a call that is made for a repeated request.
func (retries *serviceRetries) noteInherited(now time.Time) {
	retries.lock.Lock()
	defer retries.lock.Unlock()
	retries.budget.RecordInherited(now)
}

// noteUse records that the local target calls the service.
func (retries *serviceRetries) noteUse(now time.Time) {
	retries.lock.Lock()
	defer retries.lock.Unlock()
	retries.usedByTargetAt = now
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

// spentByTarget returns the part of the budget that counts for the callers of the local
// target: nothing if the target has not called the service lately.
func (retries *serviceRetries) spentByTarget(now time.Time) float64 {
	retries.lock.Lock()
	defer retries.lock.Unlock()
	if now.Sub(retries.usedByTargetAt) > spentBelowLifetime {
		return 0
	}
	return max(retries.budget.Spent(now), spentBelowDecay*retries.currentSpentBelow(now))
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

// spentByTarget returns the part of the retry budget that is spent at the service that
// the local target uses and that has least left, or further down.
func (table *retryTable) spentByTarget(now time.Time) float64 {
	table.lock.Lock()
	defer table.lock.Unlock()
	most := 0.0
	for _, retries := range table.byService {
		most = max(most, retries.spentByTarget(now))
	}
	return most
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

// takeAllowance takes the share of the root's retry allowance that goes with an
// attempt.
func (outbound *outboundCall) takeAllowance() retry.Allowance {
	outbound.root.lock.Lock()
	defer outbound.root.lock.Unlock()
	return outbound.root.allowance.TakeShare()
}
