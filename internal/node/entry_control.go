package node

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/peer/peerpb"
	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/core/ingress"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// shareUnit is a share of 1 as peers report it.
	shareUnit = 1000
	// A refused caller is told to come back within a third of its remaining time, but
	// not sooner than minRetryAfter, nor later than maxRetryAfter, which keeps it from
	// outlasting a short overload.
	retryAfterDivisor = 3
	minRetryAfter     = 200 * time.Millisecond
	maxRetryAfter     = 1500 * time.Millisecond
)

// entryControl guards, by one lock, the state that decides which calls from outside
// enter at this node, and what this node reports to its peers for the same decision.
type entryControl struct {
	lock               sync.Mutex
	shareController    ingress.ShareController
	observedEntryKinds ingress.EntryKinds
	throttle           ingress.Throttle
	// reportedEntryKinds holds what peers reported: true for kinds that come from
	// outside.
	reportedEntryKinds map[request.KindName]bool
	// shortage tracks whether the services that the local target calls lack capacity.
	shortage ingress.Shortage
}

// shouldShed reports whether a call is refused before any work is done for it, and
// the share of its kind that may enter.
func (entry *entryControl) shouldShed(now time.Time, outbound *outboundCall) (float64, bool) {
	entry.lock.Lock()
	defer entry.lock.Unlock()
	if !entry.reportedEntryKinds[outbound.kind.Name] {
		return 1, false
	}
	share := entry.throttle.Share(now, outbound.kind.Name, outbound.kind.Importance)
	return share, rand.Float64() >= share
}

// learn takes over what the report of an answer says of the call's kind.
func (entry *entryControl) learn(now time.Time, outbound *outboundCall, report *peerpb.Report) {
	entry.lock.Lock()
	defer entry.lock.Unlock()
	if entry.reportedEntryKinds == nil {
		entry.reportedEntryKinds = make(map[request.KindName]bool)
	}
	entry.reportedEntryKinds[outbound.kind.Name] = report.GetEnters()
	if !report.GetEnters() {
		entry.shortage.RecordLoad(outbound.kind.Service, float64(report.GetLoad())/loadUnit)
	}
	if report.GetShare() > 0 {
		entry.throttle.RecordShare(now, outbound.kind.Name, outbound.kind.Importance, float64(report.GetShare())/shareUnit)
	}
}

// fromOutside reports whether calls of the kind come from outside.
func (entry *entryControl) fromOutside(kind request.KindName) bool {
	entry.lock.Lock()
	defer entry.lock.Unlock()
	return entry.reportedEntryKinds[kind]
}

// fromTargets reports whether calls of the kind are known to come from targets only.
func (entry *entryControl) fromTargets(kind request.KindName) bool {
	entry.lock.Lock()
	defer entry.lock.Unlock()
	enters, known := entry.reportedEntryKinds[kind]
	return known && !enters
}

// noteShortage records that a call of the local target found no capacity.
func (entry *entryControl) noteShortage(now time.Time) {
	entry.lock.Lock()
	defer entry.lock.Unlock()
	entry.shortage.RecordRefusal(now)
}

// noteCaller records which service a call of a kind came from.
func (entry *entryControl) noteCaller(kind request.KindName, caller request.ServiceName) {
	entry.lock.Lock()
	defer entry.lock.Unlock()
	entry.observedEntryKinds.RecordArrival(kind, caller)
}

// noteEnd records how a call ended at the local target.
func (entry *entryControl) noteEnd(now time.Time, kind request.KindName, status int, late bool) {
	entry.lock.Lock()
	defer entry.lock.Unlock()
	ending := ingress.Unaffected
	if (status >= http.StatusInternalServerError || late) && entry.shortage.Active(now) {
		ending = ingress.Overloaded
	}
	entry.shareController.RecordEnd(now, kind, ending)
}

// fillReport adds to a report what peers need to know of the kind.
func (entry *entryControl) fillReport(now time.Time, kind request.KindName, report *peerpb.Report) {
	entry.lock.Lock()
	defer entry.lock.Unlock()
	report.Enters = entry.observedEntryKinds.IsEntry(kind)
	report.Share = uint32(entry.shareController.Share(now, kind) * shareUnit)
}

// shedAtEntry refuses a call from outside that may not enter now.
func (node *Node) shedAtEntry(now time.Time, outbound *outboundCall) *web.Refusal {
	if !outbound.kind.Routed {
		return nil
	}
	share, refused := node.entry.shouldShed(now, outbound)
	if !refused {
		return nil
	}
	outbound.entryShare = share
	refusal := web.NewRefusal(request.OverloadedBelow, "")
	refusal.RetryAfter = outbound.retryAfter(now)
	return refusal
}

// retryAfter returns a random Retry-After for the caller of a refused call, so that
// callers do not come back all at once.
func (outbound *outboundCall) retryAfter(now time.Time) time.Duration {
	longest := min(max(outbound.work.Deadline.Sub(now)/retryAfterDivisor, minRetryAfter), maxRetryAfter)
	return minRetryAfter + time.Duration(rand.Int64N(int64(longest-minRetryAfter)+1))
}
