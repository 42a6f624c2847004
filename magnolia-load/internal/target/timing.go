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
func (timing Timing) Draw(random *rand.Rand) time.Duration {
	return time.Duration(float64(timing.Mean) * (fixedShare + randomShare*random.ExpFloat64()))
}

// Warmup describes a cold start: at its start a target works Factor times
// slower, and the penalty falls evenly to none at the end of Length.
type Warmup struct {
	Factor float64
	Length time.Duration
}

// Slowness gives the factor on service times at an age since the start.
func (warmup Warmup) Slowness(age time.Duration) float64 {
	if warmup.Factor <= 1 || age >= warmup.Length {
		return 1
	}
	left := 1 - float64(max(age, 0))/float64(warmup.Length)
	return 1 + (warmup.Factor-1)*left
}
