package quarantine

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Ticket identifies one inbound request on this node.
type Ticket uint64

// Admission says what the target's node does with an inbound request.
type Admission uint8

// The results of [Guard.Admit].
const (
	// Run means that the request is sent to the target; [Guard.Finish] must
	// follow.
	Run Admission = iota
	// Wait means that the request waits in the queue until [Guard.Finish] or
	// [Guard.TakeWaiting] returns its ticket. Call [Guard.CancelWaiting] if the caller
	// disconnects before that.
	Wait
	// Refuse means that the request is refused with [request.Quarantined].
	Refuse
)

// suspectQueue lets one suspect at a time run at the target.
type suspectQueue struct {
	running       bool
	runningTicket Ticket
	waiting       []Ticket
}

// Admit decides whether a request may be sent to this node's target.
func (guard *Guard) Admit(now time.Time, fingerprint request.Fingerprint, ticket Ticket) Admission {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.initialize()
	suspect := guard.findSuspect(now, fingerprint)
	if suspect == nil {
		guard.inFlight[ticket] = fingerprint
		return Run
	}
	if suspect.restriction == Refused {
		guard.renewHold(now, fingerprint, suspect)
		return Refuse
	}
	if guard.queue.running {
		guard.queue.waiting = append(guard.queue.waiting, ticket)
		return Wait
	}
	guard.queue.running = true
	guard.queue.runningTicket = ticket
	guard.inFlight[ticket] = fingerprint
	return Run
}

// Finish ends a request that [Guard.Admit] let run. Completed says that the
// target completed it and is still alive; a suspect is then no longer one. The
// requests of the returned tickets left the wait queue and must be admitted
// again. Finish ignores a request that [Guard.TargetDied] has ended.
func (guard *Guard) Finish(now time.Time, ticket Ticket, completed bool) []Ticket {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.initialize()
	fingerprint, inFlight := guard.inFlight[ticket]
	if !inFlight {
		return nil
	}
	delete(guard.inFlight, ticket)
	if completed && fingerprint != 0 {
		guard.completed.add(fingerprint)
	}
	if completed && guard.findSuspect(now, fingerprint) != nil {
		guard.noteCompleted(now, fingerprint)
		guard.clearSuspect(fingerprint)
		guard.pendingReports = append(guard.pendingReports, Report{Event: SuspectCompleted, Fingerprints: []request.Fingerprint{fingerprint}})
	}
	if !guard.queue.running || guard.queue.runningTicket != ticket {
		return nil
	}
	guard.queue.running = false
	return guard.queue.takeWaiting()
}

// CancelWaiting removes a request from the wait queue.
func (guard *Guard) CancelWaiting(ticket Ticket) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	kept := guard.queue.waiting[:0]
	for _, waiting := range guard.queue.waiting {
		if waiting != ticket {
			kept = append(kept, waiting)
		}
	}
	guard.queue.waiting = kept
}

// TakeWaiting empties the wait queue after a crash of the target and returns the
// tickets, which must be admitted again.
func (guard *Guard) TakeWaiting() []Ticket {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return guard.queue.takeWaiting()
}

func (queue *suspectQueue) takeWaiting() []Ticket {
	tickets := queue.waiting
	queue.waiting = nil
	return tickets
}

// completedSet holds the fingerprints of the latest completed requests, in two
// generations of bounded size.
type completedSet struct {
	newer map[request.Fingerprint]bool
	older map[request.Fingerprint]bool
}

func (set *completedSet) initialize() {
	set.newer = make(map[request.Fingerprint]bool, completedPerGeneration)
	set.older = make(map[request.Fingerprint]bool, completedPerGeneration)
}

func (set *completedSet) add(fingerprint request.Fingerprint) {
	if len(set.newer) >= completedPerGeneration {
		set.newer, set.older = set.older, set.newer
		clear(set.newer)
	}
	set.newer[fingerprint] = true
}

// remove removes the fingerprint and returns whether it was in the set. Since it
// is removed, a request that starts to crash its targets after it completed once
// becomes a suspect at the next crash.
func (set *completedSet) remove(fingerprint request.Fingerprint) bool {
	completed := set.newer[fingerprint] || set.older[fingerprint]
	delete(set.newer, fingerprint)
	delete(set.older, fingerprint)
	return completed
}
