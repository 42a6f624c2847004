package node

import (
	"sync/atomic"
	"time"
)

// versionDelay is how much older than its confirmation the keys of a node may be: a
// replica takes up to this long to publish a version after it was accepted.
const versionDelay = 2500 * time.Millisecond

// keyConfirmation is the time up to which the keys that a node knows were confirmed.
type keyConfirmation struct {
	confirmedAt atomic.Pointer[time.Time]
}

// ConfirmKeys records that at a time the node had been offered all versions of a replica
// with a quorum. The time keeps its monotonic reading.
func (node *Node) ConfirmKeys(at time.Time) {
	node.keys.confirmedAt.Store(&at)
}

// keysExpired reports whether a key may have been withdrawn for longer than KeyLifetime
// without this node knowing.
func (node *Node) keysExpired(now time.Time) bool {
	if node.KeyLifetime == 0 {
		return false
	}
	confirmed := node.keys.confirmedAt.Load()
	if confirmed == nil {
		return true
	}
	// The monotonic clock may stand still while the host is suspended, and the time of day
	// may step; the larger age counts.
	age := max(now.Sub(*confirmed), now.Round(0).Sub(confirmed.Round(0)))
	return age > node.KeyLifetime-versionDelay
}
