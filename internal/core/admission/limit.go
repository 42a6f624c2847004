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
	windowSamples = 8
	// slowRatio is the ratio of latency to baseline above which the limiter
	// checks whether concurrency is the cause.
	slowRatio = 1.5
	// stepDown and stepUp change the limit.
	stepDown = 0.75
	stepUp   = 1.25
	// helpRatio is the latency after a step down, relative to the one before,
	// up to which the step counts as having helped.
	helpRatio = 0.9
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
	slots  float64
	limit  float64
	phase  phase
	before time.Duration
	// baseline is the own time at a concurrency that causes no queue.
	baseline time.Duration
	window   window
}

// window gathers samples until they say enough.
type window struct {
	start   time.Time
	sum     time.Duration
	samples int
	shed    int
	peak    int
}

func (w *window) full(now time.Time) bool {
	return w.samples >= windowSamples && now.Sub(w.start) >= windowTime
}

func (w *window) mean() time.Duration {
	return w.sum / time.Duration(max(w.samples, 1))
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
	return int(l.limit)
}

// finish takes a sample of a call that ended while inFlight calls ran.
func (l *limiter) finish(now time.Time, sample Sample, inFlight int) {
	l.window.peak = max(l.window.peak, inFlight)
	switch sample.Result {
	case Shed:
		l.window.shed++
	case Succeeded:
		l.window.sum += max(sample.Latency-sample.Below, 0)
		l.window.samples++
		l.open()
	}
	if l.window.shed > 0 || l.window.full(now) {
		l.close(now)
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

// close ends a window and sets the limit for the next one.
func (l *limiter) close(now time.Time) {
	ended := l.window
	if ended.shed > 0 && now.Sub(ended.start) < windowTime {
		return
	}
	l.window = window{start: now}
	if ended.shed > 0 {
		l.lower()
		l.phase = steady
		return
	}
	mean := ended.mean()
	if l.baseline == 0 || mean < l.baseline {
		l.baseline = mean
	}
	busy := float64(ended.peak) >= busyShare*l.limit
	switch l.phase {
	case steady:
		l.judge(mean, busy)
	case settling:
		l.phase = probing
	case probing:
		l.conclude(mean)
	}
}

// judge grows the limit while latency is near the baseline and begins a probe
// when it is not.
func (l *limiter) judge(mean time.Duration, busy bool) {
	if !busy {
		return
	}
	if float64(mean) <= slowRatio*float64(l.baseline) {
		l.limit = math.Min(math.Max(l.limit+1, l.limit*stepUp), l.slots)
		return
	}
	if l.limit < 2 {
		return
	}
	l.before = mean
	l.lower()
	l.phase = settling
}

// conclude keeps the lower limit if it lowered latency. Otherwise the target
// is slower for another cause: the slots are given back and the baseline moves.
func (l *limiter) conclude(mean time.Duration) {
	l.phase = steady
	if float64(mean) <= helpRatio*float64(l.before) {
		return
	}
	l.baseline = mean
	l.limit = math.Min(l.limit/stepDown, l.slots)
}

func (l *limiter) lower() {
	l.limit = math.Max(1, l.limit*stepDown)
}
