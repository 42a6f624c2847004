package node

import (
	"sync"
	"sync/atomic"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// maxPeerTargets bounds the targets whose status is remembered.
const maxPeerTargets = 4096

// peerTargets remembers which targets of other nodes are limited or leaving, as these
// nodes reported. Calls carry it back, so that a target's node knows it again after a
// restart, from the first call of a node that had been told.
type peerTargets struct {
	// count is the number of entries, which is mostly zero.
	count    atomic.Int64
	lock     sync.Mutex
	statuses map[request.NodeID]*peerpb.TargetStatus
}

// record stores what a target's node reported. No status says nothing, and one that is
// neither limited nor leaving ends an earlier one.
func (targets *peerTargets) record(node request.NodeID, status *peerpb.TargetStatus) {
	if status == nil {
		return
	}
	targets.lock.Lock()
	defer targets.lock.Unlock()
	switch {
	case !status.GetLeaving() && !status.GetLimited():
		delete(targets.statuses, node)
	case targets.statuses == nil:
		targets.statuses = map[request.NodeID]*peerpb.TargetStatus{node: status}
	case targets.statuses[node] != nil || len(targets.statuses) < maxPeerTargets:
		targets.statuses[node] = status
	}
	targets.count.Store(int64(len(targets.statuses)))
}

// find returns what is remembered of a node's target, or nil.
func (targets *peerTargets) find(node request.NodeID) *peerpb.TargetStatus {
	if targets.count.Load() == 0 {
		return nil
	}
	targets.lock.Lock()
	defer targets.lock.Unlock()
	return targets.statuses[node]
}
