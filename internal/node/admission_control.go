package node

import (
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/core/admission"
	"github.com/magnoliawall/magnoliawall/internal/core/fairshare"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

const gateTickInterval = 10 * time.Millisecond

// admissionControl guards, by one lock, the admission gate of the local target and
// the levels of downstream services, and wakes the calls that wait at the gate.
type admissionControl struct {
	lock sync.Mutex
	// targetLevels come from services that the local target calls; the gate reports
	// them upstream. entryLevels are those learned by calls that enter at this node.
	// They are not reported: the nodes that they were learned from would report them
	// back, and no level would ever fall.
	targetLevels admission.Levels
	entryLevels  admission.Levels
	gate         admission.Gate
	waiting      map[request.CallID]chan admission.Decision
	notices      []admission.Notice
	// shares holds what customers ask of the target.
	shares fairshare.Shares
	// lastHeadroom is the headroom as of the last tick.
	lastHeadroom headroom
}

// headroom is how many of the target's slots are kept free.
type headroom struct {
	slots int
	free  int
}

func newAdmissionControl(slots int) *admissionControl {
	control := &admissionControl{waiting: make(map[request.CallID]chan admission.Decision)}
	control.gate.Slots = slots
	control.gate.Downstream = &control.targetLevels
	return control
}

// shareInterval is the time between two divisions of a rate among customers.
const shareInterval = 100 * time.Millisecond

// arrive decides on a call, whose customer has a weight among others. The channel is non-nil
// when the call has to wait; it gets the decision.
func (control *admissionControl) arrive(now time.Time, work request.Work, weight fairshare.Weight) (admission.Decision, <-chan admission.Decision) {
	control.lock.Lock()
	defer control.lock.Unlock()
	work.Excess = control.shares.Record(fairshare.Request{Customer: work.Customer, Weight: weight, Priority: work.Priority})
	decision, notices := control.gate.Arrive(now, work, control.notices[:0])
	var wake chan admission.Decision
	if decision.Verdict == admission.Wait {
		wake = make(chan admission.Decision, 1)
		control.waiting[work.Call] = wake
	}
	control.deliver(notices)
	return decision, wake
}

func (control *admissionControl) finish(now time.Time, call request.CallID, sample admission.Sample) {
	control.lock.Lock()
	defer control.lock.Unlock()
	control.deliver(control.gate.Finish(now, call, sample, control.notices[:0]))
}

func (control *admissionControl) cancel(now time.Time, call request.CallID) {
	control.lock.Lock()
	defer control.lock.Unlock()
	delete(control.waiting, call)
	control.deliver(control.gate.Cancel(now, call, control.notices[:0]))
}

// rate returns the rate limit in force.
func (control *admissionControl) rate(now time.Time) admission.RateState {
	control.lock.Lock()
	defer control.lock.Unlock()
	return control.gate.Rate(now)
}

// recordRate applies what an answer of the target says about its rate limit.
func (control *admissionControl) recordRate(now time.Time, stated admission.RateStatement) {
	control.lock.Lock()
	defer control.lock.Unlock()
	control.deliver(control.gate.RecordRate(now, stated, control.notices[:0]))
}

// adoptRate applies a limit that the target stated before this node started.
func (control *admissionControl) adoptRate(now time.Time, limit request.Rate) {
	control.lock.Lock()
	defer control.lock.Unlock()
	control.gate.AdoptRate(now, limit)
}

// resetRate drops the rate limit.
func (control *admissionControl) resetRate() {
	control.lock.Lock()
	defer control.lock.Unlock()
	control.gate.ResetRate()
}

// spendRate counts a call that goes to the target without the gate.
func (control *admissionControl) spendRate(now time.Time) {
	control.lock.Lock()
	defer control.lock.Unlock()
	control.gate.SpendRate(now)
}

// refuseQueued refuses all waiting calls.
func (control *admissionControl) refuseQueued(code request.Code) {
	control.lock.Lock()
	defer control.lock.Unlock()
	control.deliver(control.gate.RefuseQueued(code, control.notices[:0]))
}

// tick advances the gate and returns the headroom before and after.
func (control *admissionControl) tick(now time.Time) (before, after headroom) {
	control.lock.Lock()
	defer control.lock.Unlock()
	control.deliver(control.gate.Tick(now, control.notices[:0]))
	if now.Sub(control.shares.DividedAt()) >= shareInterval {
		control.shares.Divide(now, fairshare.GuaranteedPart*control.gate.CallsPerSecond(now))
	}
	before = control.lastHeadroom
	control.lastHeadroom = headroom{slots: control.gate.Slots, free: control.gate.Headroom()}
	return before, control.lastHeadroom
}

// deliver passes decisions to the calls that wait for them. Each channel gets one.
func (control *admissionControl) deliver(notices []admission.Notice) {
	for _, notice := range notices {
		wake, ok := control.waiting[notice.Call]
		if !ok {
			continue
		}
		delete(control.waiting, notice.Call)
		wake <- notice.Decision
	}
	control.notices = notices[:0]
}

func (control *admissionControl) setSlots(slots int) {
	control.lock.Lock()
	defer control.lock.Unlock()
	control.gate.Slots = slots
}

// levelsFor returns the levels for calls that are attached to a root in flight, or
// for calls that enter here.
func (control *admissionControl) levelsFor(attached bool) *admission.Levels {
	if attached {
		return &control.targetLevels
	}
	return &control.entryLevels
}

func (control *admissionControl) learnLevel(now time.Time, outbound *outboundCall, report admission.LevelReport) {
	control.lock.Lock()
	defer control.lock.Unlock()
	control.levelsFor(outbound.attached).RecordReport(outbound.kind.Service, outbound.work.RootKind, report, now)
}

func (control *admissionControl) downstreamRefuses(now time.Time, outbound *outboundCall) bool {
	control.lock.Lock()
	defer control.lock.Unlock()
	return control.levelsFor(outbound.attached).Refuses(outbound.kind.Service, outbound.work, now)
}

// gateState is a snapshot of the gate.
type gateState struct {
	level          admission.LevelReport
	limit          int
	effectiveLimit int
	running        int
	waiting        int
	rate           admission.RateState
}

// load is the share of the target's limits that is in use: of its slots, or all of it
// while its rate limit lets calls wait.
func (state gateState) load() float64 {
	load := float64(state.running+state.waiting) / float64(max(state.limit, 1))
	if state.rate.Wait > 0 {
		return max(load, 1)
	}
	return load
}

func (control *admissionControl) state(now time.Time, rootKind request.KindName) gateState {
	control.lock.Lock()
	defer control.lock.Unlock()
	return gateState{
		level:          control.gate.LevelReport(rootKind, now),
		limit:          control.gate.Limit(),
		effectiveLimit: control.gate.EffectiveLimit(),
		running:        control.gate.Running(),
		waiting:        control.gate.Waiting(),
		rate:           control.gate.Rate(now),
	}
}
