package admission

import (
	"cmp"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	defaultSojourn     = 50 * time.Millisecond
	defaultLongestWait = 200 * time.Millisecond
	// minLine is the number of calls that may wait at any target.
	minLine = 4
	// sojournShare, waitShare and horizonShare bound the three times from below
	// by a share of the latency: a target that takes long for each call cannot
	// be steered within a shorter time.
	sojournShare = 1.0 / 5
	waitShare    = 1.0
	horizonShare = 1.5
	// levelHorizon is the time over which the level brings the line back to its
	// sojourn target.
	levelHorizon = 200 * time.Millisecond
	// minCorrection is the least share of the cleared rate that the level lets
	// through, however long the line is.
	minCorrection = 0.7
	// adjustInterval is the time between two changes of the level.
	adjustInterval = 10 * time.Millisecond
	// ageShare is the number of sojourn targets after which a waiting call is
	// served before calls of higher rank.
	ageShare      = 2
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// Gate admits calls to one target.
type Gate struct {
	// Slots is the number of calls that the target announces to work on at
	// once. It may change while the gate is in use.
	Slots int
	// Warm starts with all slots open, for a target that has been at work
	// before its node started.
	Warm bool
	// Sojourn is the time in the line that the level aims at, at least a fifth
	// of the target's latency. Zero is 50 ms.
	Sojourn time.Duration
	// LongestWait bounds the line to what the target clears in this time, at
	// least its latency. Zero is 200 ms.
	LongestWait time.Duration
	// Below holds the levels of the services that the target calls. It may be
	// nil.
	Below *Levels

	started    bool
	limiter    limiter
	headroom   headroom
	line       line
	running    running
	demand     demand
	pace       pace
	level      request.Level
	adjustedAt time.Time
}

// Arrive decides on an inbound call. Decisions on other calls that follow from
// it are appended to notices.
func (gate *Gate) Arrive(now time.Time, work request.Work, notices []Notice) (Decision, []Notice) {
	gate.start(now)
	if now.Add(gate.pace.shortest).After(work.Deadline) {
		return refusal(request.DeadlineTooClose, 0), notices
	}
	if work.Patience == 0 && gate.Below != nil && doomed(work, gate.Below.Below(work.RootKind, now)) {
		return gate.refuse(request.OverloadedBelow, work.Priority), notices
	}
	gate.demand.note(work.Priority)
	if gate.line.size() == 0 && gate.running.size() < gate.Places() {
		gate.begin(now, work.Call)
		return Decision{Verdict: Admit}, notices
	}
	return gate.queue(now, work, notices)
}

// Finish ends an admitted call.
func (gate *Gate) Finish(now time.Time, call request.CallID, sample Sample, notices []Notice) []Notice {
	inFlight := gate.running.size()
	mark, ok := gate.running.remove(now, call)
	if !ok {
		return notices
	}
	gate.headroom.finish(now, mark, sample, gate.Slots)
	// In a trial the target's times differ for a cause that is known.
	if !gate.headroom.tries() {
		gate.limiter.finish(now, sample, inFlight)
	}
	gate.pace.finish(sample, gate.Places())
	return gate.startWaiting(now, notices)
}

// Cancel ends a waiting or running call whose answer nobody wants any more.
func (gate *Gate) Cancel(now time.Time, call request.CallID, notices []Notice) []Notice {
	if _, ok := gate.running.remove(now, call); !ok {
		gate.line.remove(call)
		return notices
	}
	return gate.startWaiting(now, notices)
}

// Tick refuses waiting calls whose time is over, and adjusts the level.
func (gate *Gate) Tick(now time.Time, notices []Notice) []Notice {
	gate.start(now)
	gate.limiter.resize(gate.Slots)
	gate.headroom.tick(now)
	notices = gate.line.expire(now, gate.pace.shortest, notices)
	gate.line.age(now.Add(-ageShare * gate.sojourn()))
	notices = gate.startWaiting(now, notices)
	gate.adjust(now)
	return notices
}

// Level is the lowest priority that is still taken here and below for a root
// kind. It travels back on answers. A level from below loses one on the way, so
// that it dies out where services call each other in a circle.
func (gate *Gate) Level(rootKind request.KindName, now time.Time) request.Level {
	if gate.Below == nil {
		return gate.level
	}
	below := gate.Below.Below(rootKind, now)
	if below > 0 {
		below--
	}
	return max(gate.level, below)
}

// Report is the level that travels back on answers, with its age.
func (gate *Gate) Report(rootKind request.KindName, now time.Time) LevelNotice {
	level := gate.Level(rootKind, now)
	if level <= gate.level {
		return LevelNotice{Level: level}
	}
	return LevelNotice{Level: level, Age: max(0, now.Sub(gate.Below.setAt(rootKind)))}
}

// Places is the number of calls that the target is given at once: its limit, or
// fewer where some of its slots stay free.
func (gate *Gate) Places() int {
	return min(gate.limiter.places(), gate.headroom.places(max(gate.Slots, 1)))
}

// Headroom is how many of the slots stay free, trials aside.
func (gate *Gate) Headroom() int {
	return gate.headroom.free(gate.Slots)
}

// Limit is the number of calls at once that the target's answers allow.
func (gate *Gate) Limit() int {
	return gate.limiter.places()
}

// Running is the number of calls that the target works on.
func (gate *Gate) Running() int {
	return gate.running.size()
}

// Waiting is the number of calls in the line.
func (gate *Gate) Waiting() int {
	return gate.line.size()
}

func (gate *Gate) start(now time.Time) {
	if gate.started {
		return
	}
	gate.started = true
	gate.running.start(now)
	gate.adjustedAt = now
	gate.limiter.start(gate.Slots, now)
	if gate.Warm {
		gate.limiter.limit = gate.limiter.slots
		gate.limiter.phase = steady
	}
}

// queue puts a call into the line or refuses it.
func (gate *Gate) queue(now time.Time, work request.Work, notices []Notice) (Decision, []Notice) {
	if work.Patience > 0 {
		return gate.queuePatient(now, work, notices)
	}
	rate := gate.rate(now)
	place := rankOf(work)
	if gate.hopeless(now, work, place, rate) {
		return refusal(request.DeadlineTooClose, 0), notices
	}
	if work.Priority < gate.level && gate.line.size() >= gate.capacity(rate, gate.sojourn()) {
		return gate.refuse(request.Overloaded, work.Priority), notices
	}
	if gate.line.size() >= gate.capacity(rate, gate.longestWait()) {
		dropped, ok := gate.line.displace(place)
		if !ok {
			return gate.refuse(gate.fullCode(), work.Priority), notices
		}
		refused := gate.refuse(request.Overloaded, dropped.rank.priority())
		notices = append(notices, Notice{Call: dropped.call, Decision: refused})
	}
	gate.line.insert(waiter{rank: place, call: work.Call, since: now, deadline: work.Deadline})
	return Decision{Verdict: Wait}, notices
}

// queuePatient puts a call into the line if it will get its slot while it is
// patient, and refuses it at once otherwise.
func (gate *Gate) queuePatient(now time.Time, work request.Work, notices []Notice) (Decision, []Notice) {
	place := rankOf(work)
	if gate.hopeless(now, work, place, gate.rate(now)) {
		return gate.refuse(request.Overloaded, work.Priority), notices
	}
	gate.line.insert(waiter{rank: place, call: work.Call, since: now, deadline: work.Deadline, until: now.Add(work.Patience)})
	return Decision{Verdict: Wait}, notices
}

// hopeless tells whether the calls ahead take until after the deadline.
func (gate *Gate) hopeless(now time.Time, work request.Work, place rank, rate float64) bool {
	if rate <= 0 {
		return false
	}
	wait := time.Duration(float64(gate.line.ahead(place)) / rate * float64(time.Second))
	if work.Patience > 0 && wait > work.Patience {
		return true
	}
	return now.Add(wait + gate.pace.shortest).After(work.Deadline)
}

// begin admits a call. What it tells of the headroom counts only where that, and
// not the limit, bounds the number of calls.
func (gate *Gate) begin(now time.Time, call request.CallID) {
	mark := 0
	if places := gate.headroom.places(max(gate.Slots, 1)); places <= gate.limiter.places() {
		mark = gate.headroom.mark(gate.running.size()+1, places)
	}
	gate.running.add(now, call, mark)
}

// startWaiting fills free places from the line.
func (gate *Gate) startWaiting(now time.Time, notices []Notice) []Notice {
	for gate.line.size() > 0 && gate.running.size() < gate.Places() {
		next := gate.line.next()
		if now.Add(gate.pace.shortest).After(next.deadline) {
			notices = append(notices, Notice{Call: next.call, Decision: refusal(request.DeadlineTooClose, 0)})
			continue
		}
		gate.begin(now, next.call)
		notices = append(notices, Notice{Call: next.call, Decision: Decision{Verdict: Admit}})
	}
	return notices
}

// adjust sets the level to what the target clears, corrected by how far the
// line is from its sojourn target. Free places count as a negative line.
func (gate *Gate) adjust(now time.Time) {
	interval := now.Sub(gate.adjustedAt)
	if interval < adjustInterval {
		return
	}
	gate.adjustedAt = now
	excess := gate.line.size() + gate.running.size() - gate.Places()
	rate := gate.rate(now)
	gate.demand.advance(now, interval, gate.level, rate, excess < 0)
	if rate <= 0 {
		return
	}
	sojourn := float64(excess) / rate
	horizon := max(levelHorizon, gate.pace.share(horizonShare))
	correction := 1 + (gate.sojourn().Seconds()-sojourn)/horizon.Seconds()
	gate.level = gate.demand.levelFor(rate * max(correction, minCorrection))
}

// latency is how long a call holds its place, zero when that is not known yet.
// Calls that run for longer than those that ended show a slowdown sooner.
func (gate *Gate) latency(now time.Time) time.Duration {
	if gate.pace.latency == 0 {
		return 0
	}
	return max(gate.pace.latency, gate.running.meanAge(now))
}

// rate is what the target clears per second when it is full, zero when that is not
// known yet.
func (gate *Gate) rate(now time.Time) float64 {
	latency := gate.latency(now)
	if latency == 0 {
		return 0
	}
	return float64(gate.Places()) / latency.Seconds()
}

// capacity is the number of waiting calls that are cleared in the time.
func (gate *Gate) capacity(rate float64, wait time.Duration) int {
	return max(minLine, int(rate*wait.Seconds()))
}

func (gate *Gate) sojourn() time.Duration {
	return max(cmp.Or(gate.Sojourn, defaultSojourn), gate.pace.share(sojournShare))
}

func (gate *Gate) longestWait() time.Duration {
	return max(cmp.Or(gate.LongestWait, defaultLongestWait), gate.pace.share(waitShare))
}

func (gate *Gate) fullCode() request.Code {
	if gate.limiter.phase == cold {
		return request.ColdTarget
	}
	return request.Overloaded
}

func (gate *Gate) refuse(code request.Code, priority request.Priority) Decision {
	return refusal(code, RetryAfter(priority))
}

// RetryAfter is when a refused call may be sent again. It spreads the refused
// over some seconds by their buckets, so that they do not return at one moment.
func RetryAfter(priority request.Priority) time.Duration {
	spread := maxRetryAfter - minRetryAfter
	return minRetryAfter + spread*time.Duration(priority.Bucket())/request.BucketCount
}

func refusal(code request.Code, retryAfter time.Duration) Decision {
	return Decision{Verdict: Refuse, Code: code, RetryAfter: retryAfter}
}
