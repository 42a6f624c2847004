package choice

import (
	"math/rand/v2"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// entry is what the node knows of one target from its own calls.
type entry struct {
	target   Target
	hash     uint64
	rank     uint64
	inFlight int

	latency    float64
	measuredAt time.Time
	failures   float64

	load Load
	// lag is how long work waits for the processor of the target's node.
	lag        time.Duration
	reportedAt time.Time
	// inFlightThen is how many calls were in flight at the report.
	inFlightThen int
	// slowness is the latency relative to that of the kinds of calls.
	slowness float64

	refusedUntil    time.Time
	refusedPriority request.Priority

	connected   bool
	unreachable bool
	lostAt      time.Time
	// leftUntil is how long the target's word that it leaves counts; by then the
	// list of targets says so, or it has come back.
	leftUntil  time.Time
	ejected    bool
	probing    bool
	ejectUntil time.Time
	ejection   time.Duration

	warmFrom time.Time
	warmTime time.Duration
}

// leaves says whether the target has lately said that it takes no new work.
func (e *entry) leaves(now time.Time) bool {
	return now.Before(e.leftUntil)
}

// refuses says whether the target is known to be unable to take the call.
func (e *entry) refuses(now time.Time, priority request.Priority) bool {
	if e.inFlight >= int(max(e.target.Slots, 1)) {
		return true
	}
	return priority <= e.refusedPriority && now.Before(e.refusedUntil)
}

// probeDue says whether an ejected target may be tried with one call. A call
// that may not be repeated comes later than others, by MaxEjection.
func (e *entry) probeDue(now time.Time) bool {
	return e.ejected && !now.Before(e.ejectUntil)
}

// warm draws whether a target whose share still grows takes part this time, as
// against targets of which the warmest has a share.
func (e *entry) warm(now time.Time, random *rand.Rand, warmest float64) bool {
	share := e.share(now)
	return share >= warmest || random.Float64()*warmest < share
}

// share is the part of its usual calls that a target is given: less than one
// while it is cold or has just been readmitted.
func (e *entry) share(now time.Time) float64 {
	if e.warmTime == 0 {
		return 1
	}
	age := now.Sub(e.warmFrom)
	if age >= e.warmTime {
		return 1
	}
	return DefaultColdShare + (1-DefaultColdShare)*float64(age)/float64(e.warmTime)
}

// cost estimates the time that another call would take at the target.
func (e *entry) cost(now time.Time, typical float64, staleness time.Duration) float64 {
	latency := typical
	if e.latency > 0 {
		latency += (e.latency - typical) * freshness(now.Sub(e.measuredAt), staleness)
	}
	queue := float64(e.inFlight+1) / float64(max(e.target.Slots, 1))
	report := 1 + float64(min(e.load, 1))*freshness(now.Sub(e.reportedAt), staleness)
	return max(latency, 1) * queue * report * (1 + failureCost*e.failures)
}

// mostLoad bounds what a target may say of its load.
const mostLoad = 10

func (e *entry) report(now time.Time, load Load, lag time.Duration) {
	e.lag = max(lag, 0)
	if !(load >= 0) {
		load = 0
	}
	e.load = min(load, mostLoad)
	e.reportedAt = now
	e.inFlightThen = e.inFlight
}

func (e *entry) measure(now time.Time, latency time.Duration) {
	measured := float64(max(latency, 0))
	if e.latency == 0 {
		e.latency = measured
	}
	e.latency += (measured - e.latency) * latencyGain
	e.measuredAt = now
}

// freshness weighs a value down with its age, to half at staleness.
func freshness(age, staleness time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(staleness) / float64(staleness+age)
}
