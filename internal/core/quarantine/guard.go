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
func (g *Guard) SetHold(hold time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if hold > 0 {
		g.Hold = hold
	}
}

// Judge says where the node may send the request.
func (g *Guard) Judge(now time.Time, fingerprint request.Fingerprint) Ruling {
	if g.known.Load() == 0 {
		return Ruling{}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	found := g.find(now, fingerprint)
	if found == nil {
		return Ruling{}
	}
	if found.verdict == Refused {
		g.renew(now, fingerprint, found)
		return Ruling{Verdict: Refused}
	}
	return Ruling{Verdict: found.verdict, Nodes: found.nodes(), Domains: found.domains()}
}

// TargetDied makes suspects of all requests in flight at this node's target
// and forgets that they were in flight. The ticket is that of a request which
// the target had when it died; when an earlier call has ended that request,
// this is the same death and nothing is done. Waiting suspects are to be judged
// again: Waiting gives their tickets.
func (g *Guard) TargetDied(now time.Time, ticket Ticket) (Report, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.prepare()
	if _, running := g.inFlight[ticket]; !running {
		return Report{}, false
	}
	report := Report{Event: Crashed, Crash: g.Crash}
	for _, fingerprint := range g.inFlight {
		report.Fingerprints = append(report.Fingerprints, fingerprint)
	}
	slices.Sort(report.Fingerprints)
	report.Fingerprints = slices.Compact(report.Fingerprints)
	report.Fingerprints = slices.DeleteFunc(report.Fingerprints, func(fingerprint request.Fingerprint) bool {
		return fingerprint == 0 || g.finished.take(fingerprint)
	})
	clear(g.inFlight)
	g.line.running = false
	g.Crash.Incarnation++
	g.apply(now, report)
	return report, true
}

// Apply takes in the report of another node.
func (g *Guard) Apply(now time.Time, report Report) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.prepare()
	g.apply(now, report)
}

// Reports gives the reports that are to be sent since the last call.
func (g *Guard) Reports() []Report {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	reports := g.outbox
	g.outbox = nil
	return reports
}

// Expire forgets what is past its hold; it is called about once a second.
func (g *Guard) Expire(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.prepare()
	for fingerprint := range g.records {
		g.find(now, fingerprint)
	}
	for crash, members := range g.crashes {
		for fingerprint := range members {
			if g.records[fingerprint] == nil {
				delete(members, fingerprint)
			}
		}
		if len(members) == 0 {
			delete(g.crashes, crash)
		}
	}
}

// Quarantined counts the requests that are refused at present.
func (g *Guard) Quarantined(now time.Time) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	count := 0
	for _, found := range g.records {
		if found.verdict == Refused && now.Before(found.until) {
			count++
		}
	}
	return count
}

func (g *Guard) find(now time.Time, fingerprint request.Fingerprint) *record {
	found := g.records[fingerprint]
	if found == nil {
		return nil
	}
	if now.Before(found.until) {
		return found
	}
	g.forget(fingerprint)
	return nil
}

func (g *Guard) forget(fingerprint request.Fingerprint) {
	delete(g.records, fingerprint)
	g.known.Store(int64(len(g.records)))
}

// renew lengthens the hold of a request that its caller sends again.
func (g *Guard) renew(now time.Time, fingerprint request.Fingerprint, refused *record) {
	refused.until = now.Add(g.Hold)
	if now.Sub(refused.renewed) < g.Hold/4 {
		return
	}
	refused.renewed = now
	g.outbox = append(g.outbox, Report{Event: Resent, Fingerprints: []request.Fingerprint{fingerprint}})
}

func (g *Guard) prepare() {
	if g.records != nil {
		return
	}
	if g.Hold == 0 {
		g.Hold = DefaultHold
	}
	g.records = map[request.Fingerprint]*record{}
	g.crashes = map[Crash]map[request.Fingerprint]bool{}
	g.inFlight = map[Ticket]request.Fingerprint{}
	g.finished.prepare()
}
