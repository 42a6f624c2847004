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
	line       line
	running    running
	demand     demand
	pace       pace
	level      request.Level
	adjustedAt time.Time
}

// Arrive decides on an inbound call. Decisions on other calls that follow from
// it are appended to notices.
func (g *Gate) Arrive(now time.Time, work request.Work, notices []Notice) (Decision, []Notice) {
	g.start(now)
	if now.Add(g.pace.shortest).After(work.Deadline) {
		return refusal(request.DeadlineTooClose, 0), notices
	}
	if g.Below != nil && doomed(work, g.Below.Below(work.RootKind, now)) {
		return g.refuse(request.OverloadedBelow, work.Priority), notices
	}
	g.demand.note(work.Priority)
	if g.line.size() == 0 && g.running.size() < g.limiter.places() {
		g.running.add(now, work.Call)
		return Decision{Verdict: Admit}, notices
	}
	return g.queue(now, work, notices)
}

// Finish ends an admitted call.
func (g *Gate) Finish(now time.Time, call request.CallID, sample Sample, notices []Notice) []Notice {
	inFlight := g.running.size()
	if !g.running.remove(now, call) {
		return notices
	}
	g.limiter.finish(now, sample, inFlight)
	g.pace.finish(sample, g.limiter.places())
	return g.startWaiting(now, notices)
}

// Cancel ends a waiting or running call whose answer nobody wants any more.
func (g *Gate) Cancel(now time.Time, call request.CallID, notices []Notice) []Notice {
	if !g.running.remove(now, call) {
		g.line.remove(call)
		return notices
	}
	return g.startWaiting(now, notices)
}

// Tick refuses waiting calls whose time is over, and adjusts the level.
func (g *Gate) Tick(now time.Time, notices []Notice) []Notice {
	g.start(now)
	g.limiter.resize(g.Slots)
	notices = g.line.expire(now, g.pace.shortest, notices)
	g.line.age(now.Add(-ageShare * g.sojourn()))
	notices = g.startWaiting(now, notices)
	g.adjust(now)
	return notices
}

// Level is the lowest priority that is still taken here and below for a root
// kind. It travels back on answers. A level from below loses one on the way, so
// that it dies out where services call each other in a circle.
func (g *Gate) Level(rootKind request.KindName, now time.Time) request.Level {
	if g.Below == nil {
		return g.level
	}
	below := g.Below.Below(rootKind, now)
	if below > 0 {
		below--
	}
	return max(g.level, below)
}

// Report is the level that travels back on answers, with its age.
func (g *Gate) Report(rootKind request.KindName, now time.Time) LevelNotice {
	level := g.Level(rootKind, now)
	if level <= g.level {
		return LevelNotice{Level: level}
	}
	return LevelNotice{Level: level, Age: max(0, now.Sub(g.Below.setAt(rootKind)))}
}

// Limit is the number of calls that the target is given at once.
func (g *Gate) Limit() int {
	return g.limiter.places()
}

// Running is the number of calls that the target works on.
func (g *Gate) Running() int {
	return g.running.size()
}

// Waiting is the number of calls in the line.
func (g *Gate) Waiting() int {
	return g.line.size()
}

func (g *Gate) start(now time.Time) {
	if g.started {
		return
	}
	g.started = true
	g.running.start(now)
	g.adjustedAt = now
	g.limiter.start(g.Slots, now)
	if g.Warm {
		g.limiter.limit = g.limiter.slots
		g.limiter.phase = steady
	}
}

// queue puts a call into the line or refuses it.
func (g *Gate) queue(now time.Time, work request.Work, notices []Notice) (Decision, []Notice) {
	rate := g.rate(now)
	place := rankOf(work)
	if g.hopeless(now, work, place, rate) {
		return refusal(request.DeadlineTooClose, 0), notices
	}
	if work.Priority < g.level && g.line.size() >= g.capacity(rate, g.sojourn()) {
		return g.refuse(request.Overloaded, work.Priority), notices
	}
	if g.line.size() >= g.capacity(rate, g.longestWait()) {
		dropped, ok := g.line.displace(place)
		if !ok {
			return g.refuse(g.fullCode(), work.Priority), notices
		}
		refused := g.refuse(request.Overloaded, dropped.rank.priority())
		notices = append(notices, Notice{Call: dropped.call, Decision: refused})
	}
	g.line.insert(waiter{rank: place, call: work.Call, since: now, deadline: work.Deadline})
	return Decision{Verdict: Wait}, notices
}

// hopeless tells whether the calls ahead take until after the deadline.
func (g *Gate) hopeless(now time.Time, work request.Work, place rank, rate float64) bool {
	if rate <= 0 {
		return false
	}
	wait := time.Duration(float64(g.line.ahead(place)) / rate * float64(time.Second))
	return now.Add(wait + g.pace.shortest).After(work.Deadline)
}

// startWaiting fills free places from the line.
func (g *Gate) startWaiting(now time.Time, notices []Notice) []Notice {
	for g.line.size() > 0 && g.running.size() < g.limiter.places() {
		next := g.line.next()
		if now.Add(g.pace.shortest).After(next.deadline) {
			notices = append(notices, Notice{Call: next.call, Decision: refusal(request.DeadlineTooClose, 0)})
			continue
		}
		g.running.add(now, next.call)
		notices = append(notices, Notice{Call: next.call, Decision: Decision{Verdict: Admit}})
	}
	return notices
}

// adjust sets the level to what the target clears, corrected by how far the
// line is from its sojourn target. Free places count as a negative line.
func (g *Gate) adjust(now time.Time) {
	interval := now.Sub(g.adjustedAt)
	if interval < adjustInterval {
		return
	}
	g.adjustedAt = now
	excess := g.line.size() + g.running.size() - g.limiter.places()
	rate := g.rate(now)
	g.demand.advance(now, interval, g.level, rate, excess < 0)
	if rate <= 0 {
		return
	}
	sojourn := float64(excess) / rate
	horizon := max(levelHorizon, g.pace.share(horizonShare))
	correction := 1 + (g.sojourn().Seconds()-sojourn)/horizon.Seconds()
	g.level = g.demand.levelFor(rate * max(correction, minCorrection))
}

// latency is how long a call holds its place, zero when that is not known yet.
// Calls that run for longer than those that ended show a slowdown sooner.
func (g *Gate) latency(now time.Time) time.Duration {
	if g.pace.latency == 0 {
		return 0
	}
	return max(g.pace.latency, g.running.meanAge(now))
}

// rate is what the target clears per second at its limit, zero when that is not
// known yet.
func (g *Gate) rate(now time.Time) float64 {
	latency := g.latency(now)
	if latency == 0 {
		return 0
	}
	return g.limiter.limit / latency.Seconds()
}

// capacity is the number of waiting calls that are cleared in the time.
func (g *Gate) capacity(rate float64, wait time.Duration) int {
	return max(minLine, int(rate*wait.Seconds()))
}

func (g *Gate) sojourn() time.Duration {
	return max(cmp.Or(g.Sojourn, defaultSojourn), g.pace.share(sojournShare))
}

func (g *Gate) longestWait() time.Duration {
	return max(cmp.Or(g.LongestWait, defaultLongestWait), g.pace.share(waitShare))
}

func (g *Gate) fullCode() request.Code {
	if g.limiter.phase == cold {
		return request.ColdTarget
	}
	return request.Overloaded
}

func (g *Gate) refuse(code request.Code, priority request.Priority) Decision {
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
