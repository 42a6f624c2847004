package admission

import (
	"cmp"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	defaultSojournTarget = 50 * time.Millisecond
	defaultMaxQueueWait  = 200 * time.Millisecond
	// minQueueCapacity is the number of calls that may wait at any target.
	minQueueCapacity = 4
	// The following three factors of the mean latency are the lower bounds of the
	// sojourn target, of the longest queue wait and of the correction horizon: a
	// target with long calls cannot be controlled over a shorter time.
	sojournLatencyFactor   = 1.0 / 5
	queueWaitLatencyFactor = 1.0
	horizonLatencyFactor   = 1.5
	// minCorrectionHorizon is the shortest time over which the level brings the
	// queue back to its sojourn target.
	minCorrectionHorizon = 200 * time.Millisecond
	// minRateCorrection is the least share of the service rate that the level
	// admits, however long the queue is.
	minRateCorrection = 0.7
	// levelInterval is the least time between two changes of the level.
	levelInterval = 10 * time.Millisecond
	// promotionSojourns is the number of sojourn targets after which a waiting
	// call is served before others of its importance.
	promotionSojourns = 2
	minRetryAfter     = time.Second
	maxRetryAfter     = 10 * time.Second
)

// Gate admits calls to one target.
type Gate struct {
	// Slots is the number of calls that the target announces to work on at
	// once. It may change while the gate is in use.
	Slots int
	// Warm starts with the full limit, for a target that served calls before its
	// node started.
	Warm bool
	// SojournTarget is the time in the queue that the level aims at. It is raised
	// to a fifth of the target's latency. Zero is 50 ms.
	SojournTarget time.Duration
	// MaxQueueWait bounds the queue to the calls that the target serves in this
	// time. It is raised to the target's latency. Zero is 200 ms.
	MaxQueueWait time.Duration
	// Downstream holds the levels of the services that the target calls. It may be
	// nil.
	Downstream *Levels

	started         bool
	limiter         limiter
	headroom        headroomTuner
	queue           callQueue
	running         runningCalls
	demand          demandEstimator
	latency         latencyEstimate
	rate            rateLimiter
	level           request.Level
	levelAdjustedAt time.Time
}

// Arrive decides on an inbound call. Decisions on other calls that follow from
// it are appended to notices.
func (gate *Gate) Arrive(now time.Time, work request.Work, notices []Notice) (Decision, []Notice) {
	gate.start(now)
	if now.Add(gate.latency.shortest).After(work.Deadline) {
		return refusal(request.DeadlineTooClose, 0), notices
	}
	if work.Patience == 0 && gate.Downstream != nil && refusedAtLevel(work, gate.Downstream.Highest(work.RootKind, now)) {
		return gate.refuseWithRetry(request.OverloadedBelow, work.Priority), notices
	}
	gate.demand.recordArrival(work.Priority)
	if gate.queue.size() == 0 && gate.running.size() < gate.EffectiveLimit() && gate.rate.allows(now) {
		gate.startCall(now, work.Call)
		return Decision{Verdict: Admit}, notices
	}
	return gate.enqueue(now, work, notices)
}

// Finish ends an admitted call.
func (gate *Gate) Finish(now time.Time, call request.CallID, sample Sample, notices []Notice) []Notice {
	inFlight := gate.running.size()
	fullPeriod, ok := gate.running.remove(now, call)
	if !ok {
		return notices
	}
	gate.headroom.record(now, fullPeriod, sample, gate.Slots)
	// A headroom trial itself changes the latency, so the limiter ignores its
	// samples.
	if !gate.headroom.inTrial() {
		gate.limiter.record(now, sample, inFlight)
	}
	gate.latency.record(sample, gate.EffectiveLimit())
	return gate.startQueued(now, notices)
}

// Cancel ends a queued call, or an admitted one that was not handed to the target.
func (gate *Gate) Cancel(now time.Time, call request.CallID, notices []Notice) []Notice {
	if _, ok := gate.running.remove(now, call); !ok {
		gate.queue.remove(call)
		return notices
	}
	gate.rate.restore()
	return gate.startQueued(now, notices)
}

// RecordRate applies what an answer of the target says about its rate limit.
func (gate *Gate) RecordRate(now time.Time, stated RateStatement, notices []Notice) []Notice {
	gate.rate.record(now, stated)
	return gate.startQueued(now, notices)
}

// AdoptRate applies a limit that the target stated before this gate was there, as its
// callers remember it. It has no effect once the target has answered.
func (gate *Gate) AdoptRate(now time.Time, limit request.Rate) {
	if !gate.rate.heard && !gate.rate.limited {
		gate.rate.apply(now, limit)
	}
}

// ResetRate drops the limit, for another run of the target.
func (gate *Gate) ResetRate() {
	gate.rate = rateLimiter{}
}

// SpendRate counts a call that goes to the target without the gate, such as a health
// check.
func (gate *Gate) SpendRate(now time.Time) {
	gate.rate.spend(now)
}

// Rate is the rate limit in force.
func (gate *Gate) Rate(now time.Time) RateState {
	state := RateState{Limited: gate.rate.limited, Heard: gate.rate.heard}
	if state.Limited {
		state.Limit, state.Age, state.Wait = gate.rate.limit, now.Sub(gate.rate.statedAt), gate.rate.wait(now, gate.queue.size())
	}
	return state
}

// RefuseQueued refuses all queued calls, for a target that takes no more.
func (gate *Gate) RefuseQueued(code request.Code, notices []Notice) []Notice {
	for gate.queue.size() > 0 {
		notices = append(notices, Notice{Call: gate.queue.pop().call, Decision: refusal(code, 0)})
	}
	return notices
}

// Tick refuses queued calls that waited too long, and adjusts the level.
func (gate *Gate) Tick(now time.Time, notices []Notice) []Notice {
	gate.start(now)
	gate.limiter.resize(gate.Slots)
	gate.headroom.tick(now)
	notices = gate.queue.expire(now, gate.latency.shortest, notices)
	gate.queue.promote(now.Add(-promotionSojourns * gate.sojournTarget()))
	notices = gate.startQueued(now, notices)
	gate.adjustLevel(now)
	return notices
}

// Level is the lowest priority that the target and the services downstream of it
// still take for a root kind. Answers carry it back. A level from downstream is
// lowered by one, so that it falls to zero where services call each other in a
// cycle.
func (gate *Gate) Level(rootKind request.KindName, now time.Time) request.Level {
	if gate.Downstream == nil {
		return gate.level
	}
	downstream := gate.Downstream.Highest(rootKind, now)
	if downstream > 0 {
		downstream--
	}
	return max(gate.level, downstream)
}

// LevelReport is the level that answers carry back, with its age.
func (gate *Gate) LevelReport(rootKind request.KindName, now time.Time) LevelReport {
	level := gate.Level(rootKind, now)
	if level <= gate.level {
		return LevelReport{Level: level}
	}
	return LevelReport{Level: level, Age: max(0, now.Sub(gate.Downstream.highestSetAt(rootKind)))}
}

// EffectiveLimit is the number of calls that the target is given at once: its
// limit, or fewer where some of its slots are kept free.
func (gate *Gate) EffectiveLimit() int {
	return min(gate.limiter.concurrency(), gate.headroom.concurrency(max(gate.Slots, 1)))
}

// Headroom is the number of slots that are kept free. It does not change during
// a trial of another number.
func (gate *Gate) Headroom() int {
	return gate.headroom.freeSlots(gate.Slots)
}

// Limit is the adaptive concurrency limit, regardless of slots that are kept
// free.
func (gate *Gate) Limit() int {
	return gate.limiter.concurrency()
}

// CallsPerSecond is the number of calls per second that a full target completes within its
// rate limit, zero while that is unknown.
func (gate *Gate) CallsPerSecond(now time.Time) float64 {
	return gate.serviceRate(now)
}

// Running is the number of calls that the target works on.
func (gate *Gate) Running() int {
	return gate.running.size()
}

// Waiting is the number of queued calls.
func (gate *Gate) Waiting() int {
	return gate.queue.size()
}

func (gate *Gate) start(now time.Time) {
	if gate.started {
		return
	}
	gate.started = true
	gate.running.start(now)
	gate.levelAdjustedAt = now
	gate.limiter.start(gate.Slots, now)
	if gate.Warm {
		gate.limiter.limit = gate.limiter.slots
		gate.limiter.phase = steady
	}
}

// enqueue adds a call to the queue or refuses it.
func (gate *Gate) enqueue(now time.Time, work request.Work, notices []Notice) (Decision, []Notice) {
	if work.Patience > 0 {
		return gate.enqueueWithPatience(now, work, notices)
	}
	rate := gate.serviceRate(now)
	callRank := rankOf(work)
	if gate.rateRefuses(now, work, callRank) {
		return gate.refuseByRate(now, work.Priority), notices
	}
	if gate.wouldTimeOut(now, work, callRank) {
		return refusal(request.DeadlineTooClose, 0), notices
	}
	if work.Priority < gate.level && gate.queue.size() >= gate.queueCapacity(rate, gate.sojournTarget()) {
		return gate.refuseWithRetry(request.Overloaded, work.Priority), notices
	}
	if gate.queue.size() >= gate.queueCapacity(rate, gate.maxQueueWait()) {
		displaced, ok := gate.queue.displace(callRank)
		if !ok {
			return gate.refuseWithRetry(gate.queueFullCode(), work.Priority), notices
		}
		refused := gate.refuseWithRetry(request.Overloaded, displaced.rank.priority())
		notices = append(notices, Notice{Call: displaced.call, Decision: refused})
	}
	gate.queue.insert(queuedCall{rank: callRank, call: work.Call, enqueuedAt: now, deadline: work.Deadline})
	return Decision{Verdict: Wait}, notices
}

// enqueueWithPatience queues a call that is expected to get a slot within its
// patience, and refuses it at once otherwise.
func (gate *Gate) enqueueWithPatience(now time.Time, work request.Work, notices []Notice) (Decision, []Notice) {
	callRank := rankOf(work)
	if gate.rateRefuses(now, work, callRank) {
		return gate.refuseByRate(now, work.Priority), notices
	}
	if gate.wouldTimeOut(now, work, callRank) {
		return gate.refuseWithRetry(request.Overloaded, work.Priority), notices
	}
	gate.queue.insert(queuedCall{rank: callRank, call: work.Call, enqueuedAt: now, deadline: work.Deadline, waitUntil: now.Add(work.Patience)})
	return Decision{Verdict: Wait}, notices
}

// wouldTimeOut tells whether the calls ahead take so long that the call would
// exceed its patience or its deadline.
func (gate *Gate) wouldTimeOut(now time.Time, work request.Work, callRank rank) bool {
	rate := gate.slotRate(now)
	if rate <= 0 {
		return false
	}
	wait := time.Duration(float64(gate.queue.ahead(callRank)) / rate * float64(time.Second))
	return gate.exceedsWait(now, work, wait)
}

// rateRefuses tells whether the rate limit of the target makes the call wait for too
// long. A call that can be sent to another target waits no longer than the sojourn
// target.
func (gate *Gate) rateRefuses(now time.Time, work request.Work, callRank rank) bool {
	wait := gate.rate.wait(now, gate.queue.ahead(callRank))
	if wait == 0 {
		return false
	}
	return gate.exceedsWait(now, work, wait) || work.Movable && wait > gate.sojournTarget()
}

// exceedsWait tells whether a wait is longer than the patience of a call or leaves no time
// to run it.
func (gate *Gate) exceedsWait(now time.Time, work request.Work, wait time.Duration) bool {
	if work.Patience > 0 && wait > work.Patience {
		return true
	}
	return now.Add(wait + gate.latency.shortest).After(work.Deadline)
}

// refuseByRate refuses a call until the rate limit has room for it behind the queued
// calls. The time is spread, up to twofold, by the bucket.
func (gate *Gate) refuseByRate(now time.Time, priority request.Priority) Decision {
	wait := gate.rate.wait(now, gate.queue.size())
	wait += wait * time.Duration(priority.Bucket()) / request.BucketCount
	return refusal(request.RateLimited, min(wait, maxRetryAfter))
}

// startCall admits a call. Its sample counts for the headroom only where the
// headroom, and not the limit, bounds the number of calls.
func (gate *Gate) startCall(now time.Time, call request.CallID) {
	fullPeriod := 0
	if concurrency := gate.headroom.concurrency(max(gate.Slots, 1)); concurrency <= gate.limiter.concurrency() {
		fullPeriod = gate.headroom.fullPeriod(gate.running.size()+1, concurrency)
	}
	gate.rate.spend(now)
	gate.running.add(now, call, fullPeriod)
}

// startQueued admits queued calls while the target has room.
func (gate *Gate) startQueued(now time.Time, notices []Notice) []Notice {
	for gate.queue.size() > 0 && gate.running.size() < gate.EffectiveLimit() && gate.rate.allows(now) {
		next := gate.queue.pop()
		if now.Add(gate.latency.shortest).After(next.deadline) {
			notices = append(notices, Notice{Call: next.call, Decision: refusal(request.DeadlineTooClose, 0)})
			continue
		}
		gate.startCall(now, next.call)
		notices = append(notices, Notice{Call: next.call, Decision: Decision{Verdict: Admit}})
	}
	return notices
}

// adjustLevel sets the level so that the admitted demand matches the service
// rate, corrected by how far the queue is from its sojourn target. Unused
// concurrency counts as a queue of negative length.
func (gate *Gate) adjustLevel(now time.Time) {
	interval := now.Sub(gate.levelAdjustedAt)
	if interval < levelInterval {
		return
	}
	gate.levelAdjustedAt = now
	excess := gate.queue.size() + gate.running.size() - gate.EffectiveLimit()
	// The rate limit of one target does not count: callers average the levels of all
	// targets of a service, and the others have room.
	rate := gate.slotRate(now)
	gate.demand.closeInterval(now, interval, gate.level, rate, excess < 0)
	if rate <= 0 {
		return
	}
	sojourn := float64(excess) / rate
	horizon := max(minCorrectionHorizon, gate.latency.scaledMean(horizonLatencyFactor))
	correction := 1 + (gate.sojournTarget().Seconds()-sojourn)/horizon.Seconds()
	gate.level = gate.demand.levelFor(rate * max(correction, minRateCorrection))
}

// expectedLatency is how long a call holds its slot, zero while that is unknown.
// Running calls that are older than the mean latency show a slowdown before they
// end.
func (gate *Gate) expectedLatency(now time.Time) time.Duration {
	if gate.latency.mean == 0 {
		return 0
	}
	return max(gate.latency.mean, gate.running.meanAge(now))
}

// serviceRate is the number of calls per second that a full target completes within its
// rate limit, zero while that is unknown.
func (gate *Gate) serviceRate(now time.Time) float64 {
	rate := gate.slotRate(now)
	if gate.rate.limited && (rate == 0 || gate.rate.perSecond() < rate) {
		return gate.rate.perSecond()
	}
	return rate
}

// slotRate is the number of calls per second that a target completes with all its slots
// in use, zero while that is unknown.
func (gate *Gate) slotRate(now time.Time) float64 {
	latency := gate.expectedLatency(now)
	if latency == 0 {
		return 0
	}
	return float64(gate.EffectiveLimit()) / latency.Seconds()
}

// queueCapacity is the number of queued calls that the target serves within the
// wait.
func (gate *Gate) queueCapacity(rate float64, wait time.Duration) int {
	least := minQueueCapacity
	if gate.rate.limited {
		least = 1
	}
	return max(least, int(rate*wait.Seconds()))
}

func (gate *Gate) sojournTarget() time.Duration {
	return max(cmp.Or(gate.SojournTarget, defaultSojournTarget), gate.latency.scaledMean(sojournLatencyFactor))
}

func (gate *Gate) maxQueueWait() time.Duration {
	return max(cmp.Or(gate.MaxQueueWait, defaultMaxQueueWait), gate.latency.scaledMean(queueWaitLatencyFactor))
}

func (gate *Gate) queueFullCode() request.Code {
	if gate.limiter.phase == cold {
		return request.ColdTarget
	}
	return request.Overloaded
}

func (gate *Gate) refuseWithRetry(code request.Code, priority request.Priority) Decision {
	return refusal(code, RetryAfter(priority))
}

// RetryAfter is the time after which a refused call may be sent again. It
// spreads refused calls over some seconds by their buckets, so that they do not
// all return at once.
func RetryAfter(priority request.Priority) time.Duration {
	spread := maxRetryAfter - minRetryAfter
	return minRetryAfter + spread*time.Duration(priority.Bucket())/request.BucketCount
}

func refusal(code request.Code, retryAfter time.Duration) Decision {
	return Decision{Verdict: Refuse, Code: code, RetryAfter: retryAfter}
}
