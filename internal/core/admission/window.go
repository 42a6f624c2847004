package admission

import (
	"math"
	"time"
)

// window collects samples of a target's own processing time.
type window struct {
	start time.Time
	// samples counts the successful calls, and shed those that the target
	// rejected.
	samples int
	shed    int
	// peakRunning is the highest number of calls that ran at once.
	peakRunning int
	// sum is in seconds, and squareSum in square seconds.
	sum       float64
	squareSum float64
}

func (window *window) add(ownTime time.Duration) {
	seconds := ownTime.Seconds()
	window.samples++
	window.sum += seconds
	window.squareSum += seconds * seconds
}

func (window *window) merge(other window) {
	window.samples += other.samples
	window.sum += other.sum
	window.squareSum += other.squareSum
}

// mean is in seconds.
func (window *window) mean() float64 {
	return window.sum / float64(max(window.samples, 1))
}

// meanVariance is the variance of the mean, in square seconds.
func (window *window) meanVariance() float64 {
	count := float64(max(window.samples, 1))
	mean := window.sum / count
	return math.Max(window.squareSum/count-mean*mean, 0) / count
}
