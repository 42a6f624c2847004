package target

import (
	"math/rand/v2"
	"time"
)

const (
	fixedShare  = 0.75
	randomShare = 1 - fixedShare
)

// Timing is the distribution of a service time: three quarters of the mean
// are fixed and the rest is exponential.
type Timing struct {
	Mean time.Duration
}

// Draw gives one service time.
func (t Timing) Draw(random *rand.Rand) time.Duration {
	return time.Duration(float64(t.Mean) * (fixedShare + randomShare*random.ExpFloat64()))
}

// Warmup describes a cold start: at its start a target works Factor times
// slower, and the penalty falls evenly to none at the end of Length.
type Warmup struct {
	Factor float64
	Length time.Duration
}

// Slowness gives the factor on service times at an age since the start.
func (w Warmup) Slowness(age time.Duration) float64 {
	if w.Factor <= 1 || age >= w.Length {
		return 1
	}
	left := 1 - float64(max(age, 0))/float64(w.Length)
	return 1 + (w.Factor-1)*left
}
