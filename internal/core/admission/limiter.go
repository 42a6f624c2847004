package admission

import (
	"math"
	"time"
)

const (
	// coldSlotsDivisor divides the slots to give the first limit of a cold
	// target.
	coldSlotsDivisor = 8
	// minWindowTime and minWindowSamples bound a measurement window from below.
	minWindowTime    = 100 * time.Millisecond
	minWindowSamples = 24
	// slowWindowsBeforeProbe is the number of slow windows before a probe.
	slowWindowsBeforeProbe = 20
	// slowLatencyRatio is the ratio of latency to baseline above which a window
	// counts as slow.
	slowLatencyRatio = 1.5
	// probeDecreaseFactor is the factor by which a probe lowers the limit, and
	// growthFactor the factor by which the limit grows while latency is normal.
	probeDecreaseFactor = 0.85
	growthFactor        = 1.25
	// shedDecreaseFactor is the factor that lowers the limit when the target
	// itself rejects calls.
	shedDecreaseFactor = 0.75
	// maxShedDecreases is the number of such decreases after which the share of
	// rejected calls must have fallen to maxShedRatio of what it was. Otherwise
	// the target rejects calls for another cause than their number: the decreases
	// are undone, and the next ones wait for shedPauseTime.
	maxShedDecreases = 3
	maxShedRatio     = 0.7
	shedPauseTime    = 2 * time.Second
	// maxProbeLatencyRatio is the latency in a probe, relative to the latency
	// before, up to which the lower limit counts as an improvement.
	maxProbeLatencyRatio = 0.92
	// maxProbeErrorRatio is the standard error, relative to the latency, at which
	// a probe has enough samples; maxProbeTime ends it in any case.
	maxProbeErrorRatio = 0.045
	maxProbeTime       = time.Second
	// minProbeStandardErrors is the number of standard errors by which a probe
	// must lower the latency.
	minProbeStandardErrors = 1.6
	// minUsedLimitRatio is the share of the limit that must be in use for a
	// window to tell anything about the limit.
	minUsedLimitRatio = 0.7
)

// phase is the state of the limiter.
type phase uint8

const (
	// cold raises the limit by one for each success.
	cold phase = iota
	// steady measures at the current limit.
	steady
	// settling waits for calls that were admitted before a decrease to end.
	settling
	// probing measures after a decrease.
	probing
)

// limiter adapts the number of calls that a target works on at once. It uses
// the target's own processing time, without the time spent waiting for
// downstream services. Latency alone cannot tell a queue within the target from
// a target that is slower at any concurrency, so the limiter tries a lower limit
// and keeps it only when that lowers latency, as in the probing of BBR (Cardwell
// et al., "BBR: Congestion-Based Congestion Control", 2016).
type limiter struct {
	slots float64
	limit float64
	phase phase
	// baseline is the own processing time, in seconds, at a concurrency that
	// causes no queue.
	baseline float64
	window   window
	// slowTotal merges the consecutive slow windows before a probe.
	slowTotal   window
	slowWindows int
	// shedResponse is the series of decreases under way.
	shedResponse shedResponse
}

// shedResponse is a series of decreases because the target rejected calls.
type shedResponse struct {
	decreases int
	// shareBefore and limitBefore are the share of rejected calls and the limit
	// before the first decrease.
	shareBefore float64
	limitBefore float64
	// pausedUntil is when the next series may begin.
	pausedUntil time.Time
}

// start sets the first limit of a cold target.
func (limiter *limiter) start(slots int, now time.Time) {
	limiter.slots = float64(max(slots, 1))
	limiter.limit = math.Max(1, math.Floor(limiter.slots/coldSlotsDivisor))
	limiter.phase = cold
	limiter.window = window{start: now}
}

// resize scales the limit to a changed number of announced slots.
func (limiter *limiter) resize(slots int) {
	announced := float64(max(slots, 1))
	if announced == limiter.slots {
		return
	}
	limiter.limit = math.Max(1, limiter.limit*announced/limiter.slots)
	limiter.slots = announced
}

// concurrency is the limit as a whole number of calls.
func (limiter *limiter) concurrency() int {
	return int(math.Round(limiter.limit))
}

// record adds the sample of a call that ended while inFlight calls ran.
func (limiter *limiter) record(now time.Time, sample Sample, inFlight int) {
	limiter.window.peakRunning = max(limiter.window.peakRunning, inFlight)
	switch sample.Result {
	case Shed:
		limiter.window.shed++
	case Succeeded:
		limiter.window.add(max(sample.Latency-sample.DownstreamTime, 0))
		limiter.growCold()
	}
	switch {
	case limiter.window.shed > 0:
		limiter.decreaseOnShed(now)
	case limiter.phase == settling:
		limiter.endSettling(now)
	case limiter.phase == probing:
		limiter.endProbe(now)
	case limiter.window.samples >= minWindowSamples && now.Sub(limiter.window.start) >= minWindowTime:
		limiter.endWindow(now)
	}
}

// growCold raises the limit of a cold target by one, up to the slots.
func (limiter *limiter) growCold() {
	if limiter.phase != cold {
		return
	}
	limiter.limit = math.Min(limiter.limit+1, limiter.slots)
	if limiter.limit == limiter.slots {
		limiter.phase = steady
	}
}

// decreaseOnShed lowers the limit, once in a window, because the target itself
// rejected calls. It undoes a series of decreases that did not help.
func (limiter *limiter) decreaseOnShed(now time.Time) {
	if now.Sub(limiter.window.start) < minWindowTime {
		return
	}
	share := float64(limiter.window.shed) / float64(limiter.window.shed+limiter.window.samples)
	limiter.enter(steady, now)
	if now.Before(limiter.shedResponse.pausedUntil) {
		return
	}
	if limiter.shedResponse.decreases == maxShedDecreases {
		if share > maxShedRatio*limiter.shedResponse.shareBefore {
			limiter.limit = math.Min(limiter.shedResponse.limitBefore, limiter.slots)
			limiter.shedResponse = shedResponse{pausedUntil: now.Add(shedPauseTime)}
			return
		}
		limiter.shedResponse = shedResponse{}
	}
	if limiter.shedResponse.decreases == 0 {
		limiter.shedResponse = shedResponse{shareBefore: share, limitBefore: limiter.limit}
	}
	limiter.shedResponse.decreases++
	limiter.decrease(shedDecreaseFactor)
}

// endWindow raises the limit while latency is near the baseline, and starts a
// probe after a number of consecutive slow windows.
func (limiter *limiter) endWindow(now time.Time) {
	ended := limiter.window
	limiter.window = window{start: now}
	limiter.shedResponse.decreases = 0
	mean := ended.mean()
	if limiter.baseline == 0 || mean < limiter.baseline {
		limiter.baseline = mean
	}
	if limiter.phase == cold || float64(ended.peakRunning) < minUsedLimitRatio*limiter.limit {
		return
	}
	if mean <= slowLatencyRatio*limiter.baseline {
		limiter.limit = math.Min(math.Max(limiter.limit+1, limiter.limit*growthFactor), limiter.slots)
		limiter.slowTotal, limiter.slowWindows = window{}, 0
		return
	}
	limiter.slowTotal.merge(ended)
	limiter.slowWindows++
	if limiter.slowWindows < slowWindowsBeforeProbe || limiter.limit < 2 {
		return
	}
	limiter.phase = settling
	limiter.decrease(probeDecreaseFactor)
}

// endSettling starts the measurement of a probe once the calls that were
// admitted before the decrease have ended.
func (limiter *limiter) endSettling(now time.Time) {
	if float64(limiter.window.samples) >= limiter.limit {
		limiter.phase = probing
		limiter.window = window{start: now}
	}
}

// endProbe ends a probe that has enough samples. It keeps the lower limit if
// that lowered latency. Otherwise the target is slower for another cause: the
// limit is restored, and the baseline becomes the measured latency.
func (limiter *limiter) endProbe(now time.Time) {
	before, after := limiter.slowTotal.mean(), limiter.window.mean()
	deviation := math.Sqrt(limiter.slowTotal.meanVariance() + limiter.window.meanVariance())
	if limiter.window.samples < minWindowSamples || deviation > maxProbeErrorRatio*before && now.Sub(limiter.window.start) < maxProbeTime {
		return
	}
	limiter.enter(steady, now)
	if after <= maxProbeLatencyRatio*before && before-after >= minProbeStandardErrors*deviation {
		return
	}
	limiter.baseline = after
	limiter.limit = math.Min(limiter.limit/probeDecreaseFactor, limiter.slots)
}

// enter changes the phase and drops all measurements.
func (limiter *limiter) enter(next phase, now time.Time) {
	limiter.phase = next
	limiter.window = window{start: now}
	limiter.slowTotal, limiter.slowWindows = window{}, 0
}

func (limiter *limiter) decrease(factor float64) {
	limiter.limit = math.Max(1, limiter.limit*factor)
}
