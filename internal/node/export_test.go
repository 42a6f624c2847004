package node

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// RecordCalls records recent calls of a kind that took the given time, as if this node had
// sent them on and as if its target had run them.
func (node *Node) RecordCalls(kind request.KindName, service request.ServiceName, took time.Duration, count int) {
	for range count {
		node.recentCalls.Record(time.Now(), callClass{kind: kind, service: service}, took)
		node.recentRuns.Record(time.Now(), kind, took)
	}
}

// Waiting returns how many calls wait for a slot at the local target.
func (node *Node) Waiting() int {
	return node.admissionControl.state(time.Now(), "").waiting
}

// EndCalls ends the calls in flight as at the end of the grace time.
func (node *Node) EndCalls() { node.endCallsAt(time.Now()) }
