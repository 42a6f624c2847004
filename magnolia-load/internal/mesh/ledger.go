package mesh

import (
	"context"
	"sync"

	"github.com/magnoliawall/magnoliawall/internal/core/ledger"
)

// localLedger records claims in this process alone, for measurements that do
// not concern the replicated log.
type localLedger struct {
	mu      sync.Mutex
	machine *ledger.Machine
	index   uint64
}

// Propose gives the result of a command.
func (l *localLedger) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(l.index, command)
}
