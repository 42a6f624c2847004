// Package quarantine limits how many targets a poison request, one that crashes
// the target that runs it, can bring down.
//
// Requests are identified by a fingerprint. When a target crashes, all requests
// that were in flight there become suspects. A suspect is restricted as follows:
//
//   - The system does not retry it. When its caller sends it again, it goes to
//     one target only, and a target runs one suspect at a time.
//   - If it is the only request that was in flight at two crashes, it is refused
//     until it has not been sent for the hold time.
//   - If several requests were in flight at the same two crashes, they are sent
//     to other failure domains only, where the poison request is told apart from
//     the others.
//   - Once a target completes it, it is no longer a suspect on any node.
//
// At most two targets of a failure domain crash, because a request that is not
// yet a suspect is only sent to the two targets of the domain that its
// fingerprint selects; see package balancer. The fingerprint zero stands for no
// request and never becomes a suspect.
//
// # Usage
//
//	guard := &quarantine.Guard{Crash: quarantine.Crash{Node: id, Domain: domain, Incarnation: 1}}
//	decision := guard.Decide(now, fingerprint) // on the sending node
//	admission := guard.Admit(now, fingerprint, ticket) // on the target's node
//	released := guard.Finish(now, ticket, true)
//	report, ok := guard.TargetDied(now, ticket)
//	guard.Apply(now, report) // on every other node
//
// All methods are safe for concurrent use.
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// DefaultHold is the hold time of a [Guard] whose Hold is zero.
	DefaultHold = time.Minute
	// crashThreshold is the number of crashes after which a suspect is refused or
	// sent to other failure domains only. After as many crashes in one failure
	// domain, that domain is excluded for it.
	crashThreshold = 2
	// maxSuspects is the number of fingerprints above which no new suspects are
	// recorded.
	maxSuspects = 16384
	// maxCrashesPerSuspect is the number of crashes recorded for a suspect.
	maxCrashesPerSuspect = 8
	// completedPerGeneration is the size of one generation of completed requests.
	completedPerGeneration = 8192
)

// Guard keeps the suspects that one node knows of, and controls which of them run
// at the node's target. Set the exported fields before the first use. All methods
// are safe for concurrent use.
type Guard struct {
	// Crash identifies the next crash of this node's target. Its incarnation is
	// incremented with each crash.
	Crash Crash
	// Hold is how long a request is refused after it was last sent, and how long
	// a suspect is remembered after its last crash.
	Hold time.Duration

	mutex           sync.Mutex
	suspectCount    atomic.Int64
	suspects        map[request.Fingerprint]*suspectRecord
	suspectsByCrash map[Crash]map[request.Fingerprint]bool
	// completedAt holds when suspects completed, for the hold time.
	completedAt    map[request.Fingerprint]time.Time
	inFlight       map[Ticket]request.Fingerprint
	completed      completedSet
	queue          suspectQueue
	pendingReports []Report
}

// SetHold changes the hold time. Records that exist keep their expiry until it
// is extended next. A hold time that is not positive is ignored.
func (guard *Guard) SetHold(hold time.Duration) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if hold > 0 {
		guard.Hold = hold
	}
}

// Decide returns to which targets the node may send the request.
func (guard *Guard) Decide(now time.Time, fingerprint request.Fingerprint) Decision {
	if guard.suspectCount.Load() == 0 {
		return Decision{}
	}
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	suspect := guard.findSuspect(now, fingerprint)
	if suspect == nil {
		return Decision{}
	}
	if suspect.restriction == Refused {
		guard.renewHold(now, fingerprint, suspect)
		return Decision{Restriction: Refused}
	}
	return Decision{Restriction: suspect.restriction, ExcludedNodes: suspect.nodes(), ExcludedDomains: suspect.domains()}
}

// TargetDied records that this node's target crashed: all requests in flight
// become suspects and are no longer in flight. The ticket is that of a request
// that the target was running when it crashed. If that request is no longer in
// flight, the crash was recorded before; TargetDied then changes nothing and
// returns false. The report is to be sent to the other nodes. Afterwards, admit
// the requests in the wait queue again; [Guard.TakeWaiting] returns their tickets.
func (guard *Guard) TargetDied(now time.Time, ticket Ticket) (Report, bool) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.initialize()
	if _, running := guard.inFlight[ticket]; !running {
		return Report{}, false
	}
	report := Report{Event: TargetCrashed, Crash: guard.Crash}
	for _, fingerprint := range guard.inFlight {
		report.Fingerprints = append(report.Fingerprints, fingerprint)
	}
	slices.Sort(report.Fingerprints)
	report.Fingerprints = slices.Compact(report.Fingerprints)
	report.Fingerprints = slices.DeleteFunc(report.Fingerprints, func(fingerprint request.Fingerprint) bool {
		return fingerprint == 0 || guard.completed.remove(fingerprint)
	})
	clear(guard.inFlight)
	guard.queue.running = false
	guard.Crash.Incarnation++
	guard.applyReport(now, report)
	return report, true
}

// Apply applies reports of other nodes, in the order of the list. Reports may arrive
// repeatedly and late; the reports that a replica keeps for a new node belong into one
// call, so that a suspect does not expire between its crash and a later resend.
func (guard *Guard) Apply(now time.Time, reports ...Report) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.initialize()
	for _, report := range reports {
		guard.applyReport(now, report)
	}
}

// TakeReports returns the reports to send that were added since the last call.
func (guard *Guard) TakeReports() []Report {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	reports := guard.pendingReports
	guard.pendingReports = nil
	return reports
}

// Expire removes the suspects whose hold time has passed. Call it about once a
// second.
func (guard *Guard) Expire(now time.Time) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.initialize()
	for fingerprint := range guard.suspects {
		guard.findSuspect(now, fingerprint)
	}
	for crash, suspects := range guard.suspectsByCrash {
		for fingerprint := range suspects {
			if guard.suspects[fingerprint] == nil {
				delete(suspects, fingerprint)
			}
		}
		if len(suspects) == 0 {
			delete(guard.suspectsByCrash, crash)
		}
	}
	maps.DeleteFunc(guard.completedAt, func(_ request.Fingerprint, at time.Time) bool {
		return !now.Before(at.Add(guard.Hold))
	})
}

// QuarantinedCount returns the number of fingerprints that are refused at present.
func (guard *Guard) QuarantinedCount(now time.Time) int {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	count := 0
	for _, suspect := range guard.suspects {
		if suspect.restriction == Refused && now.Before(suspect.expiresAt) {
			count++
		}
	}
	return count
}

func (guard *Guard) findSuspect(now time.Time, fingerprint request.Fingerprint) *suspectRecord {
	suspect := guard.suspects[fingerprint]
	if suspect == nil {
		return nil
	}
	if now.Before(suspect.expiresAt) {
		return suspect
	}
	guard.removeSuspect(fingerprint)
	return nil
}

func (guard *Guard) removeSuspect(fingerprint request.Fingerprint) {
	delete(guard.suspects, fingerprint)
	guard.suspectCount.Store(int64(len(guard.suspects)))
}

// renewHold extends the hold of a refused request that its caller sent again. It
// reports this to the other nodes at most once in a quarter of the hold time.
func (guard *Guard) renewHold(now time.Time, fingerprint request.Fingerprint, suspect *suspectRecord) {
	suspect.expiresAt = now.Add(guard.Hold)
	if now.Sub(suspect.lastResendReport) < guard.Hold/4 {
		return
	}
	suspect.lastResendReport = now
	guard.pendingReports = append(guard.pendingReports, Report{Event: RefusedResent, Fingerprints: []request.Fingerprint{fingerprint}})
}

func (guard *Guard) initialize() {
	if guard.suspects != nil {
		return
	}
	if guard.Hold == 0 {
		guard.Hold = DefaultHold
	}
	guard.suspects = map[request.Fingerprint]*suspectRecord{}
	guard.suspectsByCrash = map[Crash]map[request.Fingerprint]bool{}
	guard.completedAt = map[request.Fingerprint]time.Time{}
	guard.inFlight = map[Ticket]request.Fingerprint{}
	guard.completed.initialize()
}
