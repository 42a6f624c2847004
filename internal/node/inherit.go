package node

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// activeRequest is a request that the local target works on.
type activeRequest struct {
	id      string
	work    request.Work
	root    *root
	started time.Time
}

// inheritFromParent gives a call of the local target that names no root the priority
// and spent time of the request that it is likely made for. They affect only the
// order of calls and the time that a target seems to wait for others, never what
// callers are told or what is retried, since the parent may be wrong.
func (node *Node) inheritFromParent(outbound *outboundCall, deadline, now time.Time) {
	if outbound.attached || !outbound.kind.Routed || node.entry.fromOutside(outbound.kind.Name) {
		return
	}
	parent, ok := node.activeRequests.Parent(deadline)
	if !ok {
		return
	}
	outbound.likelyParent = parent
	node.counters.inheritedCalls.Inc()
	outbound.inheritWork(parent.work, now.Sub(parent.started))
}

// inheritWork gives the call the bucket of its parent's work, so that the calls of
// one tree are all admitted or all shed, the higher importance of the two, and the
// time spent on the parent so far.
func (outbound *outboundCall) inheritWork(parent request.Work, elapsed time.Duration) {
	importance := max(parent.Priority.Importance(), outbound.kind.Importance)
	outbound.work.Priority = request.NewPriority(importance, parent.Priority.Bucket())
	outbound.work.Spent = parent.Spent + elapsed
}

// beginWait and endWait enclose the time in which the local target waits for the
// call.
func (outbound *outboundCall) beginWait(now time.Time) {
	outbound.root.beginWait(now)
	if outbound.likelyParent != nil {
		outbound.likelyParent.root.beginWait(now)
	}
}

// endWait records the refusal in the call's own root only. The likely parent may be
// wrong, so the refusal must not change how it ends.
func (outbound *outboundCall) endWait(now time.Time, refused *web.Refusal) {
	outbound.root.endWait(now, refused)
	if outbound.likelyParent != nil {
		outbound.likelyParent.root.endWait(now, nil)
	}
}
