package node

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// activeRequest is a request that the local target works on.
type activeRequest struct {
	id      string
	work    request.Work
	root    *root
	started time.Time
	// repeat says that the request is a retry, or was made for one.
	repeat bool
}

// repeatCounter counts the requests that the local target works on, and those of them
// that are retries or were made for one.
type repeatCounter struct{ requests, repeats atomic.Int64 }

// enter counts a request until the function that it returns is called.
func (counter *repeatCounter) enter(repeat bool) (leave func()) {
	count := int64(0)
	if repeat {
		count = 1
	}
	counter.requests.Add(1)
	counter.repeats.Add(count)
	return func() {
		counter.requests.Add(-1)
		counter.repeats.Add(-count)
	}
}

// share returns the share of repeats.
func (counter *repeatCounter) share() float64 {
	return float64(counter.repeats.Load()) / float64(max(counter.requests.Load(), 1))
}

// inheritsRepeat reports whether a call of the local target is made for a repeated
// request. Without a likely parent it is drawn by the share of repeats among the
// requests, so that the sum is right.
func (node *Node) inheritsRepeat(outbound *outboundCall) bool {
	if outbound.likelyParent != nil {
		return outbound.likelyParent.repeat
	}
	share := node.repeats.share()
	return share > 0 && rand.Float64() < share
}

// inheritFromParent gives a call of the local target that names no root the priority
// and spent time of the request that it is likely made for. They affect only the
// order of calls and the time that a target seems to wait for others, never what
// callers are told or what is retried, since the parent may be wrong.
func (node *Node) inheritFromParent(matcher *configuration.Matcher, outbound *outboundCall, deadline, now time.Time) {
	if outbound.attached || !outbound.kind.Routed || node.entry.fromOutside(outbound.kind.Name) {
		return
	}
	parent, ok := node.activeRequests.Parent(deadline)
	if !ok {
		return
	}
	outbound.likelyParent = parent
	node.counters.inheritedCalls.Inc()
	outbound.inheritWork(matcher, parent.work, now.Sub(parent.started))
}

// inheritWork gives the call the bucket of its parent's work, so that the calls of
// one tree are all admitted or all shed, the importance of its customer and the higher
// one of the two kinds, and the time spent on the parent so far.
func (outbound *outboundCall) inheritWork(matcher *configuration.Matcher, parent request.Work, elapsed time.Duration) {
	importance := matcher.InheritedImportance(parent.Priority.Importance(), outbound.kind)
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
