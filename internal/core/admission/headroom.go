package admission

import (
	"math"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// minHeadroomSlots is the number of slots from which on some are kept free.
	// With fewer slots, one free slot costs more than the target loses by slowing
	// down when it is nearly full.
	minHeadroomSlots = 10
	// initialCandidate is the index of the ratio in use until one is measured,
	// for example after a restart, when all targets are full at once.
	initialCandidate = 1
	// trialCalls is the number of calls in a trial, enough to know their mean to
	// a tenth. The first period with the ratio in use is as long. After each
	// trial that period doubles, up to maxBaselineTrials times trialCalls.
	trialCalls        = 48
	maxBaselineTrials = 6
	// maxTrialTime ends a trial in which the target is no longer full.
	maxTrialTime = time.Second
	// minTrialWeight is the lowest weight of a trial in the mean of all trials
	// with the same ratio.
	minTrialWeight = 0.25
	// minThroughputGain is how much more throughput a ratio must give to replace
	// the one in use.
	minThroughputGain = 1.04
	// typicalTimeGain is the smoothing factor for the typical own time of a kind.
	typicalTimeGain = 1.0 / 64
	// maxTimeRatio limits the influence of a single call on a measurement.
	maxTimeRatio = 4
)

// headroomRatios are the candidate shares of the slots that are kept free.
var headroomRatios = [...]float64{0, 1.0 / 20, 1.0 / 10, 1.0 / 5}

// headroomTuner decides how many slots of a target are kept free. Some targets
// slow down when they are nearly full, and have a higher throughput with fewer
// calls at once. The tuner measures that while calls are queued: long periods
// with the ratio in use alternate with short trials of another candidate, and the
// tuner compares the durations of the calls in both, each relative to its kind.
// Alternating separates the effect of the ratio from other changes in the
// target's speed.
type headroomTuner struct {
	initialized bool
	// The candidates below are indexes of headroomRatios: inUse is the chosen
	// one, active the one of the current period, and lastTrial the one tried last.
	inUse     int
	active    int
	lastTrial int
	// period numbers the periods, so that calls of an earlier one are ignored.
	period          int
	periodStartedAt time.Time
	// baselineCalls is the number of calls in a period with the ratio in use.
	baselineCalls int
	// current sums the times of this period, and baseline those of the last
	// period with the ratio in use.
	current  timeRatioSum
	baseline timeRatioSum
	// relativeTime is, by candidate, the mean time of a call divided by that with
	// the ratio in use. trialCounts is the number of trials behind it.
	relativeTime [len(headroomRatios)]float64
	trialCounts  [len(headroomRatios)]int
	// typicalSeconds is the smoothed own time of the calls of a kind.
	typicalSeconds map[request.KindName]float64
}

// timeRatioSum sums own times, each divided by the typical one of its kind.
type timeRatioSum struct {
	calls int
	sum   float64
}

func (total timeRatioSum) mean() float64 {
	return total.sum / float64(max(total.calls, 1))
}

// concurrency is the number of calls that the target is given at once in the
// current period.
func (tuner *headroomTuner) concurrency(slots int) int {
	tuner.initialize(slots)
	return candidateConcurrency(tuner.active, slots)
}

// freeSlots is the number of slots kept free by the ratio in use.
func (tuner *headroomTuner) freeSlots(slots int) int {
	tuner.initialize(slots)
	return slots - candidateConcurrency(tuner.inUse, slots)
}

func candidateConcurrency(candidate, slots int) int {
	if slots < minHeadroomSlots {
		return slots
	}
	return slots - int(math.Ceil(headroomRatios[candidate]*float64(slots)))
}

// initialize sets the estimates used before the first measurement: calls beyond
// the initial concurrency add no throughput.
func (tuner *headroomTuner) initialize(slots int) {
	if tuner.initialized || slots < minHeadroomSlots {
		return
	}
	tuner.initialized = true
	tuner.inUse, tuner.active, tuner.lastTrial = initialCandidate, initialCandidate, len(headroomRatios)-1
	tuner.period, tuner.baselineCalls = 1, trialCalls
	tuner.typicalSeconds = make(map[request.KindName]float64)
	for candidate := range headroomRatios {
		tuner.relativeTime[candidate] = max(1, float64(candidateConcurrency(candidate, slots))/float64(candidateConcurrency(initialCandidate, slots)))
	}
}

// fullPeriod is the number of the current period for a call that makes the
// target full, and zero for any other call. It is stored with the call, as only
// calls that start at full concurrency are measured.
func (tuner *headroomTuner) fullPeriod(running, concurrency int) int {
	if running < concurrency {
		return 0
	}
	return tuner.period
}

// inTrial tells whether a trial is under way.
func (tuner *headroomTuner) inTrial() bool {
	return tuner.active != tuner.inUse
}

// tick ends a trial that takes too long.
func (tuner *headroomTuner) tick(now time.Time) {
	if tuner.inTrial() && now.Sub(tuner.periodStartedAt) > maxTrialTime {
		tuner.startPeriod(now, tuner.inUse)
	}
}

// record adds the sample of a call. A rejected call ends a trial, as the limiter
// reacts to rejected calls.
func (tuner *headroomTuner) record(now time.Time, fullPeriod int, sample Sample, slots int) {
	if sample.Result == Shed && tuner.inTrial() {
		tuner.startPeriod(now, tuner.inUse)
	}
	if !tuner.initialized || sample.Result != Succeeded {
		return
	}
	ratio := tuner.timeRatio(sample.Kind, max(sample.Latency-sample.DownstreamTime, 0))
	if fullPeriod != tuner.period {
		return
	}
	tuner.current.calls++
	tuner.current.sum += ratio
	switch {
	case !tuner.inTrial() && tuner.current.calls >= tuner.baselineCalls:
		tuner.baseline = tuner.current
		tuner.startPeriod(now, tuner.nextTrial())
	case tuner.inTrial() && tuner.current.calls >= trialCalls:
		tuner.endTrial(now, slots)
	}
}

// timeRatio is the own time of a call divided by the typical one of its kind.
func (tuner *headroomTuner) timeRatio(kind request.KindName, ownTime time.Duration) float64 {
	seconds := ownTime.Seconds()
	typical, known := tuner.typicalSeconds[kind]
	if !known || typical == 0 {
		tuner.typicalSeconds[kind] = seconds
		return 1
	}
	tuner.typicalSeconds[kind] = typical + (seconds-typical)*typicalTimeGain
	return min(seconds/typical, maxTimeRatio)
}

// nextTrial selects the candidate of the next trial: each of the others in turn.
func (tuner *headroomTuner) nextTrial() int {
	tuner.lastTrial = (tuner.lastTrial + 1) % len(headroomRatios)
	if tuner.lastTrial == tuner.inUse {
		tuner.lastTrial = (tuner.lastTrial + 1) % len(headroomRatios)
	}
	return tuner.lastTrial
}

func (tuner *headroomTuner) startPeriod(now time.Time, candidate int) {
	tuner.active = candidate
	tuner.periodStartedAt = now
	tuner.period++
	tuner.current = timeRatioSum{}
}

// endTrial updates the estimate of the tried candidate, and switches to it if it
// gives a higher throughput.
func (tuner *headroomTuner) endTrial(now time.Time, slots int) {
	candidate := tuner.active
	measured := tuner.current.mean() / max(tuner.baseline.mean(), 1.0/maxTimeRatio)
	tuner.trialCounts[candidate]++
	tuner.relativeTime[candidate] += (measured - tuner.relativeTime[candidate]) * max(minTrialWeight, 1/float64(tuner.trialCounts[candidate]))
	if tuner.throughput(candidate, slots) > minThroughputGain*tuner.throughput(tuner.inUse, slots) {
		tuner.switchTo(candidate)
	}
	tuner.baselineCalls = min(2*tuner.baselineCalls, maxBaselineTrials*trialCalls)
	tuner.startPeriod(now, tuner.inUse)
}

// throughput is the estimated throughput with a candidate. Only its ratio to
// that of another candidate has a meaning.
func (tuner *headroomTuner) throughput(candidate, slots int) float64 {
	return float64(candidateConcurrency(candidate, slots)) / max(tuner.relativeTime[candidate], 1.0/maxTimeRatio)
}

// switchTo puts a candidate into use, and rescales the times relative to it.
func (tuner *headroomTuner) switchTo(candidate int) {
	base := tuner.relativeTime[candidate]
	for index := range tuner.relativeTime {
		tuner.relativeTime[index] /= base
	}
	tuner.inUse = candidate
}
