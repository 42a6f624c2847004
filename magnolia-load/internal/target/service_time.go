package target

import (
	"math/rand/v2"
	"time"
)

const (
	fixedShare  = 0.75
	randomShare = 1 - fixedShare
)

// ServiceTime is a distribution of service times: three quarters of the mean are
// fixed and the rest is exponentially distributed.
type ServiceTime struct {
	Mean time.Duration
}

// Sample returns one service time.
func (serviceTime ServiceTime) Sample(random *rand.Rand) time.Duration {
	return time.Duration(float64(serviceTime.Mean) * (fixedShare + randomShare*random.ExpFloat64()))
}

// Warmup describes a cold start: service times are InitialSlowdown times longer at
// the start, and the slowdown falls linearly to none over Duration.
type Warmup struct {
	InitialSlowdown float64
	Duration        time.Duration
}

// Slowdown returns the factor on service times at an age since the start.
func (warmup Warmup) Slowdown(age time.Duration) float64 {
	if warmup.InitialSlowdown <= 1 || age >= warmup.Duration {
		return 1
	}
	remaining := 1 - float64(max(age, 0))/float64(warmup.Duration)
	return 1 + (warmup.InitialSlowdown-1)*remaining
}
