package quarantine

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// Ticket names one inbound request of this node.
type Ticket uint64

// Admission says what the target's node does with a request that arrived.
type Admission uint8

// The admissions.
const (
	// Run hands the request to the target; Finish must follow.
	Run Admission = iota
	// Wait holds the request until Finish or Waiting names its ticket, or the
	// caller gives it up by Leave.
	Wait
	// Refuse answers with the code Quarantined.
	Refuse
)

// waitingLine lets one suspect run at the target at a time.
type waitingLine struct {
	running bool
	holder  Ticket
	waiting []Ticket
}

// Admit asks whether a request may be handed to this node's target.
func (guard *Guard) Admit(now time.Time, fingerprint request.Fingerprint, ticket Ticket) Admission {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.prepare()
	found := guard.find(now, fingerprint)
	if found == nil {
		guard.inFlight[ticket] = fingerprint
		return Run
	}
	if found.verdict == Refused {
		guard.renew(now, fingerprint, found)
		return Refuse
	}
	if guard.line.running {
		guard.line.waiting = append(guard.line.waiting, ticket)
		return Wait
	}
	guard.line.running = true
	guard.line.holder = ticket
	guard.inFlight[ticket] = fingerprint
	return Run
}

// Finish ends a request that ran. Completed says that the target ran it to its
// end and still lives. The tickets it gives are to be admitted again. A request
// that the death of the target has ended already is ignored.
func (guard *Guard) Finish(now time.Time, ticket Ticket, completed bool) []Ticket {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.prepare()
	fingerprint, ran := guard.inFlight[ticket]
	if !ran {
		return nil
	}
	delete(guard.inFlight, ticket)
	if completed && fingerprint != 0 {
		guard.finished.add(fingerprint)
	}
	if completed && guard.find(now, fingerprint) != nil {
		guard.clear(fingerprint)
		guard.outbox = append(guard.outbox, Report{Event: Finished, Fingerprints: []request.Fingerprint{fingerprint}})
	}
	if !guard.line.running || guard.line.holder != ticket {
		return nil
	}
	guard.line.running = false
	return guard.line.release()
}

// Leave takes a waiting request out of the line.
func (guard *Guard) Leave(ticket Ticket) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	kept := guard.line.waiting[:0]
	for _, waiting := range guard.line.waiting {
		if waiting != ticket {
			kept = append(kept, waiting)
		}
	}
	guard.line.waiting = kept
}

// Waiting empties the line after the target died: each ticket is to be
// admitted again.
func (guard *Guard) Waiting() []Ticket {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return guard.line.release()
}

func (line *waitingLine) release() []Ticket {
	released := line.waiting
	line.waiting = nil
	return released
}

// memory holds the fingerprints of the latest completed requests, in two
// generations of bounded size.
type memory struct {
	newer map[request.Fingerprint]bool
	older map[request.Fingerprint]bool
}

func (m *memory) prepare() {
	m.newer = make(map[request.Fingerprint]bool, memorySize)
	m.older = make(map[request.Fingerprint]bool, memorySize)
}

func (m *memory) add(fingerprint request.Fingerprint) {
	if len(m.newer) >= memorySize {
		m.newer, m.older = m.older, m.newer
		clear(m.newer)
	}
	m.newer[fingerprint] = true
}

// take says whether the request is known to have completed, and forgets it: a
// request that begins to crash its targets is a suspect at the next crash.
func (m *memory) take(fingerprint request.Fingerprint) bool {
	known := m.newer[fingerprint] || m.older[fingerprint]
	delete(m.newer, fingerprint)
	delete(m.older, fingerprint)
	return known
}
