// Package quarantine keeps a request that crashes its targets from bringing
// down more of them.
//
// When a target dies, the requests that were in flight there are suspects,
// known by their fingerprint. A suspect is not retried by the system. A resend
// of its caller runs at one target only, with no other suspect beside it. A
// fingerprint that is the only one common to two crashes is refused for a hold
// time. A suspect that a target runs to its end is cleared everywhere. When
// several fingerprints are common to two crashes they run in other failure
// domains only, where they are told apart.
//
// The limit of two targets in a failure domain holds because a request that is
// not yet suspected goes to no other targets of a domain than the two that its
// fingerprint selects; see package choice. The fingerprint zero names no request
// and is never suspected.
//
// # Usage
//
//	guard := &quarantine.Guard{Crash: quarantine.Crash{Node: id, Domain: domain, Incarnation: 1}}
//	ruling := guard.Judge(now, fingerprint) // at the sending node
//	verdict := guard.Admit(now, fingerprint, ticket) // at the target's node
//	released := guard.Finish(now, ticket, true)
//	report, ok := guard.TargetDied(now, ticket)
//	guard.Apply(now, report) // at every other node
//
// All methods may be called from several goroutines.
package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// The policy that a zero field of [Guard] stands for, and its bounds.
const (
	DefaultHold      = time.Minute
	crashesPerDomain = 2
	maxRecords       = 16384
	maxCrashes       = 8
	memorySize       = 8192
)

// Guard holds what one node knows of crashing requests. The exported fields
// are set before the first use.
type Guard struct {
	// Crash names the next death of this node's target. Its incarnation is
	// raised with each death.
	Crash Crash
	// Hold is how long a request is refused after its last resend, and how long
	// a suspect is remembered.
	Hold time.Duration

	mutex    sync.Mutex
	known    atomic.Int64
	records  map[request.Fingerprint]*record
	crashes  map[Crash]map[request.Fingerprint]bool
	inFlight map[Ticket]request.Fingerprint
	finished memory
	line     waitingLine
	outbox   []Report
}

// SetHold sets Hold for what is suspected from now on.
func (guard *Guard) SetHold(hold time.Duration) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if hold > 0 {
		guard.Hold = hold
	}
}

// Judge says where the node may send the request.
func (guard *Guard) Judge(now time.Time, fingerprint request.Fingerprint) Ruling {
	if guard.known.Load() == 0 {
		return Ruling{}
	}
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	found := guard.find(now, fingerprint)
	if found == nil {
		return Ruling{}
	}
	if found.verdict == Refused {
		guard.renew(now, fingerprint, found)
		return Ruling{Verdict: Refused}
	}
	return Ruling{Verdict: found.verdict, Nodes: found.nodes(), Domains: found.domains()}
}

// TargetDied makes suspects of all requests in flight at this node's target
// and forgets that they were in flight. The ticket is that of a request which
// the target had when it died; when an earlier call has ended that request,
// this is the same death and nothing is done. Waiting suspects are to be judged
// again: Waiting gives their tickets.
func (guard *Guard) TargetDied(now time.Time, ticket Ticket) (Report, bool) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.prepare()
	if _, running := guard.inFlight[ticket]; !running {
		return Report{}, false
	}
	report := Report{Event: Crashed, Crash: guard.Crash}
	for _, fingerprint := range guard.inFlight {
		report.Fingerprints = append(report.Fingerprints, fingerprint)
	}
	slices.Sort(report.Fingerprints)
	report.Fingerprints = slices.Compact(report.Fingerprints)
	report.Fingerprints = slices.DeleteFunc(report.Fingerprints, func(fingerprint request.Fingerprint) bool {
		return fingerprint == 0 || guard.finished.take(fingerprint)
	})
	clear(guard.inFlight)
	guard.line.running = false
	guard.Crash.Incarnation++
	guard.apply(now, report)
	return report, true
}

// Apply takes in the report of another node.
func (guard *Guard) Apply(now time.Time, report Report) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.prepare()
	guard.apply(now, report)
}

// Reports gives the reports that are to be sent since the last call.
func (guard *Guard) Reports() []Report {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	reports := guard.outbox
	guard.outbox = nil
	return reports
}

// Expire forgets what is past its hold; it is called about once a second.
func (guard *Guard) Expire(now time.Time) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.prepare()
	for fingerprint := range guard.records {
		guard.find(now, fingerprint)
	}
	for crash, members := range guard.crashes {
		for fingerprint := range members {
			if guard.records[fingerprint] == nil {
				delete(members, fingerprint)
			}
		}
		if len(members) == 0 {
			delete(guard.crashes, crash)
		}
	}
}

// Quarantined counts the requests that are refused at present.
func (guard *Guard) Quarantined(now time.Time) int {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	count := 0
	for _, found := range guard.records {
		if found.verdict == Refused && now.Before(found.until) {
			count++
		}
	}
	return count
}

func (guard *Guard) find(now time.Time, fingerprint request.Fingerprint) *record {
	found := guard.records[fingerprint]
	if found == nil {
		return nil
	}
	if now.Before(found.until) {
		return found
	}
	guard.forget(fingerprint)
	return nil
}

func (guard *Guard) forget(fingerprint request.Fingerprint) {
	delete(guard.records, fingerprint)
	guard.known.Store(int64(len(guard.records)))
}

// renew lengthens the hold of a request that its caller sends again.
func (guard *Guard) renew(now time.Time, fingerprint request.Fingerprint, refused *record) {
	refused.until = now.Add(guard.Hold)
	if now.Sub(refused.renewed) < guard.Hold/4 {
		return
	}
	refused.renewed = now
	guard.outbox = append(guard.outbox, Report{Event: Resent, Fingerprints: []request.Fingerprint{fingerprint}})
}

func (guard *Guard) prepare() {
	if guard.records != nil {
		return
	}
	if guard.Hold == 0 {
		guard.Hold = DefaultHold
	}
	guard.records = map[request.Fingerprint]*record{}
	guard.crashes = map[Crash]map[request.Fingerprint]bool{}
	guard.inFlight = map[Ticket]request.Fingerprint{}
	guard.finished.prepare()
}
