package balancer_test

import (
	"math"
	"math/rand/v2"
)

// banditAlgorithm is the adaptive-window upper confidence bound algorithm of Li and
// others ("Adaptive Data Placement in Multi-Cloud Storage", 2023) for pulls of one
// arm at a time. Each arm has a window that starts again when a Page-Hinkley test
// with forgetting detects a change. Latencies are in seconds.
type banditAlgorithm struct {
	window      int
	exploration float64
	tolerance   float64
	threshold   float64

	step int
	arms []banditArm
}

type banditArm struct {
	changedAtStep int
	samples       []sample
	sum           float64
	detector      pageHinkley
}

type sample struct {
	step    int
	latency float64
}

func (bandit *banditAlgorithm) pick(*rand.Rand) int {
	bandit.step++
	best, lowest := 0, math.Inf(1)
	for index := range bandit.arms {
		candidate := &bandit.arms[index]
		width := min(bandit.window, bandit.step-candidate.changedAtStep+1)
		candidate.trim(bandit.step - width)
		if len(candidate.samples) == 0 {
			return index
		}
		count := float64(len(candidate.samples))
		bound := candidate.sum/count - math.Sqrt(bandit.exploration*math.Log(float64(max(width, 2)))/count)
		if bound < lowest {
			best, lowest = index, bound
		}
	}
	return best
}

func (bandit *banditAlgorithm) record(index int, latency float64) {
	pulled := &bandit.arms[index]
	pulled.samples = append(pulled.samples, sample{step: bandit.step, latency: latency})
	pulled.sum += latency
	if pulled.detector.detectsChange(latency, bandit.tolerance, bandit.threshold) {
		pulled.changedAtStep = bandit.step
		pulled.detector = pageHinkley{}
	}
}

func (arm *banditArm) trim(before int) {
	for len(arm.samples) > 0 && arm.samples[0].step < before {
		arm.sum -= arm.samples[0].latency
		arm.samples = arm.samples[1:]
	}
}

// pageHinkley detects a change of the mean in either direction.
type pageHinkley struct {
	count, mean                               float64
	upperSum, upperSumMin, lowerSum, lowerMax float64
}

func (detector *pageHinkley) detectsChange(value, tolerance, threshold float64) bool {
	detector.count++
	detector.mean += (value - detector.mean) / detector.count
	retention := (detector.count - 1) / detector.count
	detector.upperSum = retention*detector.upperSum + value - detector.mean - tolerance
	detector.lowerSum = retention*detector.lowerSum + value - detector.mean + tolerance
	detector.upperSumMin = min(detector.upperSumMin, detector.upperSum)
	detector.lowerMax = max(detector.lowerMax, detector.lowerSum)
	return detector.upperSum-detector.upperSumMin >= threshold || detector.lowerMax-detector.lowerSum >= threshold
}
