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
func (g *Guard) Admit(now time.Time, fingerprint request.Fingerprint, ticket Ticket) Admission {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.prepare()
	found := g.find(now, fingerprint)
	if found == nil {
		g.inFlight[ticket] = fingerprint
		return Run
	}
	if found.verdict == Refused {
		g.renew(now, fingerprint, found)
		return Refuse
	}
	if g.line.running {
		g.line.waiting = append(g.line.waiting, ticket)
		return Wait
	}
	g.line.running = true
	g.line.holder = ticket
	g.inFlight[ticket] = fingerprint
	return Run
}

// Finish ends a request that ran. Completed says that the target ran it to its
// end and still lives. The tickets it gives are to be admitted again. A request
// that the death of the target has ended already is ignored.
func (g *Guard) Finish(now time.Time, ticket Ticket, completed bool) []Ticket {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.prepare()
	fingerprint, ran := g.inFlight[ticket]
	if !ran {
		return nil
	}
	delete(g.inFlight, ticket)
	if completed && fingerprint != 0 {
		g.finished.add(fingerprint)
	}
	if completed && g.find(now, fingerprint) != nil {
		g.clear(fingerprint)
		g.outbox = append(g.outbox, Report{Event: Finished, Fingerprints: []request.Fingerprint{fingerprint}})
	}
	if !g.line.running || g.line.holder != ticket {
		return nil
	}
	g.line.running = false
	return g.line.release()
}

// Leave takes a waiting request out of the line.
func (g *Guard) Leave(ticket Ticket) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	kept := g.line.waiting[:0]
	for _, waiting := range g.line.waiting {
		if waiting != ticket {
			kept = append(kept, waiting)
		}
	}
	g.line.waiting = kept
}

// Waiting empties the line after the target died: each ticket is to be
// admitted again.
func (g *Guard) Waiting() []Ticket {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.line.release()
}

func (l *waitingLine) release() []Ticket {
	released := l.waiting
	l.waiting = nil
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
