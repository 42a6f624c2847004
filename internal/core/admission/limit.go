package admission

import (
	"math"
	"time"
)

const (
	// coldShare is the part of the slots that a cold target is given at first.
	coldShare = 8
	// windowTime and windowSamples bound a window of measurement from below.
	windowTime    = 100 * time.Millisecond
	windowSamples = 24
	// patience is the number of slow windows before a probe.
	patience = 20
	// slowRatio is the ratio of latency to baseline above which a window counts
	// as slow.
	slowRatio = 1.5
	// stepDown and stepUp change the limit in and after a probe.
	stepDown = 0.85
	stepUp   = 1.25
	// shedDown lowers the limit when the target itself turned calls away.
	shedDown = 0.75
	// shedSteps is the number of such steps after which they must have helped:
	// the share of calls turned away must have fallen to shedHelp of what it was.
	// Otherwise the target turns calls away for another cause than their number,
	// the steps are taken back, and shedPause passes before the next ones.
	shedSteps = 3
	shedHelp  = 0.7
	shedPause = 2 * time.Second
	// helpRatio is the latency in a probe, relative to the one before, up to
	// which the lower limit counts as having helped.
	helpRatio = 0.92
	// probeError is the standard error, relative to the latency, at which a
	// probe has seen enough; probeTime ends it in any case.
	probeError = 0.045
	probeTime  = time.Second
	// significance is the number of standard errors by which a probe must lower
	// the latency.
	significance = 1.6
	// busyShare is the share of the limit in use above which a window says
	// something on the limit.
	busyShare = 0.7
)

// phase is the state of the limiter.
type phase uint8

const (
	// cold opens by one for each success.
	cold phase = iota
	// steady measures.
	steady
	// settling waits for calls admitted before a step down to end.
	settling
	// probing measures after a step down.
	probing
)

// limiter adapts the number of calls that a target works on at once. It uses
// the target's own time, without the time spent waiting for services below.
// Latency alone cannot tell a queue within the target from a target that is
// slower at any concurrency, so the limiter tries a lower limit and keeps it
// only when that lowers latency, as in the probing of BBR (Cardwell et al.,
// "BBR: Congestion-Based Congestion Control", 2016).
type limiter struct {
	slots float64
	limit float64
	phase phase
	// baseline is the own time, in seconds, at a concurrency that causes no
	// queue.
	baseline float64
	window   window
	// slow gathers the slow windows in a row before a probe.
	slow        window
	slowWindows int
	// shedding is what was seen before the steps against turned away calls.
	shedding shedding
}

// shedding is a row of steps against calls that the target turned away.
type shedding struct {
	steps int
	// share and limit are those before the first step.
	share float64
	limit float64
	// pausedUntil is when the next row may begin.
	pausedUntil time.Time
}

// start sets the first limit of a cold target.
func (l *limiter) start(slots int, now time.Time) {
	l.slots = float64(max(slots, 1))
	l.limit = math.Max(1, math.Floor(l.slots/coldShare))
	l.phase = cold
	l.window = window{start: now}
}

// resize takes a changed number of announced slots.
func (l *limiter) resize(slots int) {
	announced := float64(max(slots, 1))
	if announced == l.slots {
		return
	}
	l.limit = math.Max(1, l.limit*announced/l.slots)
	l.slots = announced
}

func (l *limiter) places() int {
	return int(math.Round(l.limit))
}

// finish takes a sample of a call that ended while inFlight calls ran.
func (l *limiter) finish(now time.Time, sample Sample, inFlight int) {
	l.window.peak = max(l.window.peak, inFlight)
	switch sample.Result {
	case Shed:
		l.window.shed++
	case Succeeded:
		l.window.add(max(sample.Latency-sample.Below, 0))
		l.open()
	}
	switch {
	case l.window.shed > 0:
		l.yield(now)
	case l.phase == settling:
		l.settle(now)
	case l.phase == probing:
		l.probe(now)
	case l.window.samples >= windowSamples && now.Sub(l.window.start) >= windowTime:
		l.judge(now)
	}
}

// open raises the limit of a cold target by one, up to the slots.
func (l *limiter) open() {
	if l.phase != cold {
		return
	}
	l.limit = math.Min(l.limit+1, l.slots)
	if l.limit == l.slots {
		l.phase = steady
	}
}

// yield lowers the limit, once in a window, as the target itself turned calls
// away. A row of steps that did not help is taken back.
func (l *limiter) yield(now time.Time) {
	if now.Sub(l.window.start) < windowTime {
		return
	}
	share := float64(l.window.shed) / float64(l.window.shed+l.window.samples)
	l.restart(steady, now)
	if now.Before(l.shedding.pausedUntil) {
		return
	}
	if l.shedding.steps == shedSteps {
		if share > shedHelp*l.shedding.share {
			l.limit = math.Min(l.shedding.limit, l.slots)
			l.shedding = shedding{pausedUntil: now.Add(shedPause)}
			return
		}
		l.shedding = shedding{}
	}
	if l.shedding.steps == 0 {
		l.shedding = shedding{share: share, limit: l.limit}
	}
	l.shedding.steps++
	l.lower(shedDown)
}

// judge grows the limit while latency is near the baseline. When it has not
// been for some windows, a probe begins.
func (l *limiter) judge(now time.Time) {
	ended := l.window
	l.window = window{start: now}
	l.shedding.steps = 0
	mean := ended.mean()
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	if l.phase == cold || float64(ended.peak) < busyShare*l.limit {
		return
	}
	if mean <= slowRatio*l.baseline {
		l.limit = math.Min(math.Max(l.limit+1, l.limit*stepUp), l.slots)
		l.slow, l.slowWindows = window{}, 0
		return
	}
	l.slow.merge(ended)
	l.slowWindows++
	if l.slowWindows < patience || l.limit < 2 {
		return
	}
	l.phase = settling
	l.lower(stepDown)
}

// settle waits until the calls that were admitted before the step have ended.
func (l *limiter) settle(now time.Time) {
	if float64(l.window.samples) >= l.limit {
		l.phase = probing
		l.window = window{start: now}
	}
}

// probe keeps the lower limit if it lowered latency. Otherwise the target is
// slower for another cause: the slots are given back and the baseline moves.
func (l *limiter) probe(now time.Time) {
	before, after := l.slow.mean(), l.window.mean()
	deviation := math.Sqrt(l.slow.meanVariance() + l.window.meanVariance())
	if l.window.samples < windowSamples || deviation > probeError*before && now.Sub(l.window.start) < probeTime {
		return
	}
	l.restart(steady, now)
	if after <= helpRatio*before && before-after >= significance*deviation {
		return
	}
	l.baseline = after
	l.limit = math.Min(l.limit/stepDown, l.slots)
}

func (l *limiter) restart(next phase, now time.Time) {
	l.phase = next
	l.window = window{start: now}
	l.slow, l.slowWindows = window{}, 0
}

func (l *limiter) lower(step float64) {
	l.limit = math.Max(1, l.limit*step)
}
