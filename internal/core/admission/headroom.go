package admission

import (
	"math"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// headroomSlots is the least number of slots of which some are left free: of
	// fewer, one is more than a target that slows down when nearly full would lose.
	headroomSlots = 10
	// firstArm is used until something is measured, as after a restart, when all
	// targets are full at once.
	firstArm = 1
	// trialSamples is the number of calls in a trial, whose mean is then known to
	// a tenth. A stretch with the arm in use begins with as many, and takes twice
	// as many after each trial, up to longestStretch trials.
	trialSamples   = 48
	longestStretch = 6
	// trialTime ends a trial that no longer fills the target.
	trialTime = time.Second
	// relativeGain is the least weight of a trial beside those before it.
	relativeGain = 0.25
	// armMargin is how much more work an arm must get done to replace the one in use.
	armMargin = 1.04
	// usualGain is the gain of the usual own time of a kind.
	usualGain = 1.0 / 64
	// mostUnusual bounds what a single call says of an arm.
	mostUnusual = 4
)

// arms are the shares of the slots that are left free.
var arms = [...]float64{0, 1.0 / 20, 1.0 / 10, 1.0 / 5}

// headroom decides how many slots of a target stay free. Some targets slow down
// when they are nearly full, and then get more done with fewer calls at once. That
// is measured while calls wait: stretches with the arm in use take turns with short
// ones with another arm, and the times that calls took in both are compared, each
// relative to its kind. The turns keep apart what the target's speed does by itself.
type headroom struct {
	prepared bool
	main     int
	// tried is the arm of the present stretch, last the one of the last trial.
	tried int
	last  int
	// stretch numbers the stretches, so that calls of the one before do not count.
	stretch int
	begunAt time.Time
	// length is the number of calls in a stretch with the arm in use.
	length int
	// present and before are the sums of the present stretch and of the last one
	// with the arm in use.
	present tally
	before  tally
	// relative is the time that calls take with an arm by that with the arm in use,
	// from so many trials.
	relative [len(arms)]float64
	trials   [len(arms)]int
	usual    map[request.KindName]float64
}

// tally is a sum of own times, each relative to the usual one of its kind.
type tally struct {
	calls int
	sum   float64
}

func (t tally) mean() float64 {
	return t.sum / float64(max(t.calls, 1))
}

// places is how many calls the target is given at once, of its slots.
func (h *headroom) places(slots int) int {
	h.prepare(slots)
	return armPlaces(h.tried, slots)
}

// free is how many of the slots stay free with the arm in use.
func (h *headroom) free(slots int) int {
	h.prepare(slots)
	return slots - armPlaces(h.main, slots)
}

func armPlaces(arm, slots int) int {
	if slots < headroomSlots {
		return slots
	}
	return slots - int(math.Ceil(arms[arm]*float64(slots)))
}

// prepare assumes, until it is measured, that more places than those in use would
// slow the target down by as much as they add.
func (h *headroom) prepare(slots int) {
	if h.prepared || slots < headroomSlots {
		return
	}
	h.prepared = true
	h.main, h.tried, h.last = firstArm, firstArm, len(arms)-1
	h.stretch, h.length = 1, trialSamples
	h.usual = make(map[request.KindName]float64)
	for arm := range arms {
		h.relative[arm] = max(1, float64(armPlaces(arm, slots))/float64(armPlaces(firstArm, slots)))
	}
}

// mark is kept with a call that takes the last place, and says in which stretch
// it did; zero is any other call.
func (h *headroom) mark(running, places int) int {
	if running < places {
		return 0
	}
	return h.stretch
}

// tries tells whether a trial is under way.
func (h *headroom) tries() bool {
	return h.tried != h.main
}

// tick ends a trial that takes too long.
func (h *headroom) tick(now time.Time) {
	if h.tries() && now.Sub(h.begunAt) > trialTime {
		h.begin(now, h.main)
	}
}

// finish takes the time of a call. A target that turns calls away is not tried with
// other numbers; the limiter sees to that.
func (h *headroom) finish(now time.Time, mark int, sample Sample, slots int) {
	if sample.Result == Shed && h.tries() {
		h.begin(now, h.main)
	}
	if !h.prepared || sample.Result != Succeeded {
		return
	}
	unusual := h.compare(sample.Kind, max(sample.Latency-sample.Below, 0))
	if mark != h.stretch {
		return
	}
	h.present.calls++
	h.present.sum += unusual
	switch {
	case !h.tries() && h.present.calls >= h.length:
		h.before = h.present
		h.begin(now, h.next())
	case h.tries() && h.present.calls >= trialSamples:
		h.judge(now, slots)
	}
}

// compare gives the own time of a call by the usual one of its kind.
func (h *headroom) compare(kind request.KindName, own time.Duration) float64 {
	seconds := own.Seconds()
	usual, known := h.usual[kind]
	if !known || usual == 0 {
		h.usual[kind] = seconds
		return 1
	}
	h.usual[kind] = usual + (seconds-usual)*usualGain
	return min(seconds/usual, mostUnusual)
}

// next is the arm of the next trial: each of the others in turn.
func (h *headroom) next() int {
	h.last = (h.last + 1) % len(arms)
	if h.last == h.main {
		h.last = (h.last + 1) % len(arms)
	}
	return h.last
}

func (h *headroom) begin(now time.Time, arm int) {
	h.tried = arm
	h.begunAt = now
	h.stretch++
	h.present = tally{}
}

// judge ends a trial, and takes the arm with which the target gets most done.
func (h *headroom) judge(now time.Time, slots int) {
	arm := h.tried
	measured := h.present.mean() / max(h.before.mean(), 1.0/mostUnusual)
	h.trials[arm]++
	h.relative[arm] += (measured - h.relative[arm]) * max(relativeGain, 1/float64(h.trials[arm]))
	if h.gets(arm, slots) > armMargin*h.gets(h.main, slots) {
		h.turnTo(arm)
	}
	h.length = min(2*h.length, longestStretch*trialSamples)
	h.begin(now, h.main)
}

// gets is the work that the target gets done with an arm, relative to others.
func (h *headroom) gets(arm, slots int) float64 {
	return float64(armPlaces(arm, slots)) / max(h.relative[arm], 1.0/mostUnusual)
}

// turnTo uses another arm, and states the times relative to it.
func (h *headroom) turnTo(arm int) {
	base := h.relative[arm]
	for index := range h.relative {
		h.relative[index] /= base
	}
	h.main = arm
}
