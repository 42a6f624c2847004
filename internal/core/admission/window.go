package admission

import (
	"math"
	"time"
)

// window gathers samples of a target's own time.
type window struct {
	start   time.Time
	samples int
	shed    int
	peak    int
	// sum and squares are in seconds and square seconds.
	sum     float64
	squares float64
}

func (w *window) add(own time.Duration) {
	seconds := own.Seconds()
	w.samples++
	w.sum += seconds
	w.squares += seconds * seconds
}

func (w *window) merge(other window) {
	w.samples += other.samples
	w.sum += other.sum
	w.squares += other.squares
}

// mean is in seconds.
func (w *window) mean() float64 {
	return w.sum / float64(max(w.samples, 1))
}

// meanVariance is the variance of the mean, in square seconds.
func (w *window) meanVariance() float64 {
	count := float64(max(w.samples, 1))
	mean := w.sum / count
	return math.Max(w.squares/count-mean*mean, 0) / count
}
