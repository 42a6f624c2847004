package node

import (
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const gateInterval = 10 * time.Millisecond

// traffic guards the gate of the local target and the levels of the services
// below by one lock, and wakes the calls that wait. The levels that calls of
// callers meet are kept apart: they say nothing of the local target, and to
// report them as its own would carry them back to where they came from.
type traffic struct {
	lock    sync.Mutex
	levels  admission.Levels
	entry   admission.Levels
	gate    admission.Gate
	waiting map[request.CallID]chan admission.Decision
	notices []admission.Notice
}

func newTraffic(slots int) *traffic {
	tr := &traffic{waiting: make(map[request.CallID]chan admission.Decision)}
	tr.gate.Slots = slots
	tr.gate.Below = &tr.levels
	return tr
}

// arrive decides on a call. The channel is set when the call has to wait.
func (tr *traffic) arrive(now time.Time, work request.Work) (admission.Decision, <-chan admission.Decision) {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	decision, notices := tr.gate.Arrive(now, work, tr.notices[:0])
	var wake chan admission.Decision
	if decision.Verdict == admission.Wait {
		wake = make(chan admission.Decision, 1)
		tr.waiting[work.Call] = wake
	}
	tr.deliver(notices)
	return decision, wake
}

func (tr *traffic) finish(now time.Time, call request.CallID, sample admission.Sample) {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	tr.deliver(tr.gate.Finish(now, call, sample, tr.notices[:0]))
}

func (tr *traffic) cancel(now time.Time, call request.CallID) {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	delete(tr.waiting, call)
	tr.deliver(tr.gate.Cancel(now, call, tr.notices[:0]))
}

func (tr *traffic) tick(now time.Time) {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	tr.deliver(tr.gate.Tick(now, tr.notices[:0]))
}

// deliver wakes the calls whose decision fell. Each channel takes one decision.
func (tr *traffic) deliver(notices []admission.Notice) {
	for _, notice := range notices {
		wake, ok := tr.waiting[notice.Call]
		if !ok {
			continue
		}
		delete(tr.waiting, notice.Call)
		wake <- notice.Decision
	}
	tr.notices = notices[:0]
}

func (tr *traffic) setSlots(slots int) {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	tr.gate.Slots = slots
}

// learn takes the level on the answer to a call of the local target, where it
// is tied to the root that the target works on, or else of a caller.
func (tr *traffic) learn(now time.Time, og *outgoing, level request.Level) {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	tr.levelsFor(og).Learn(og.kind.Service, og.work.RootKind, level, now)
}

func (tr *traffic) refuses(now time.Time, og *outgoing) bool {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	return tr.levelsFor(og).Refuses(og.kind.Service, og.work, now)
}

func (tr *traffic) levelsFor(og *outgoing) *admission.Levels {
	if og.tied {
		return &tr.levels
	}
	return &tr.entry
}

// gauge is what the gate tells of itself.
type gauge struct {
	level   request.Level
	limit   int
	running int
	waiting int
}

func (tr *traffic) gauge(now time.Time, rootKind request.KindName) gauge {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	return gauge{
		level:   tr.gate.Level(rootKind, now),
		limit:   tr.gate.Limit(),
		running: tr.gate.Running(),
		waiting: tr.gate.Waiting(),
	}
}
