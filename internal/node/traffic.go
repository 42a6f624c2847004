package node

import (
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const gateInterval = 10 * time.Millisecond

// traffic guards the gate of the local target and the levels of the services
// below by one lock, and wakes the calls that wait.
type traffic struct {
	lock sync.Mutex
	// levels come from services that the local target calls; the gate passes
	// them on. Those of calls that only enter here are kept apart: passed on,
	// they would come back from the nodes that they were learned from, and no
	// level would ever fall.
	levels  admission.Levels
	entered admission.Levels
	gate    admission.Gate
	waiting map[request.CallID]chan admission.Decision
	notices []admission.Notice
	// known is the headroom as of the last tick.
	known headroom
}

// headroom is how many slots of the target stay free.
type headroom struct {
	slots int
	free  int
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

// tick gives the headroom before and after it.
func (tr *traffic) tick(now time.Time) (before, after headroom) {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	tr.deliver(tr.gate.Tick(now, tr.notices[:0]))
	before = tr.known
	tr.known = headroom{slots: tr.gate.Slots, free: tr.gate.Headroom()}
	return before, tr.known
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

// levelsOf gives the levels for calls of the local target, which are tied to a
// root in flight, or for calls that enter here.
func (tr *traffic) levelsOf(tied bool) *admission.Levels {
	if tied {
		return &tr.levels
	}
	return &tr.entered
}

func (tr *traffic) learn(now time.Time, og *outgoing, notice admission.LevelNotice) {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	tr.levelsOf(og.tied).Hear(og.kind.Service, og.work.RootKind, notice, now)
}

func (tr *traffic) refuses(now time.Time, og *outgoing) bool {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	return tr.levelsOf(og.tied).Refuses(og.kind.Service, og.work, now)
}

// gauge is what the gate tells of itself.
type gauge struct {
	level   admission.LevelNotice
	limit   int
	places  int
	running int
	waiting int
}

func (tr *traffic) gauge(now time.Time, rootKind request.KindName) gauge {
	tr.lock.Lock()
	defer tr.lock.Unlock()
	return gauge{
		level:   tr.gate.Report(rootKind, now),
		limit:   tr.gate.Limit(),
		places:  tr.gate.Places(),
		running: tr.gate.Running(),
		waiting: tr.gate.Waiting(),
	}
}
