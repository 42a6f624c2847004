package choice_test

import (
	"math"
	"math/rand/v2"
)

// bandit is the adaptive-window upper confidence bound of Li and others
// ("Adaptive Data Placement in Multi-Cloud Storage", 2023) for one arm at a
// time: a window for each arm that a Page-Hinkley test with forgetting cuts.
// Latencies are in seconds.
type bandit struct {
	window    int
	explore   float64
	tolerance float64
	threshold float64

	step int
	arms []arm
}

type arm struct {
	since   int
	samples []sample
	sum     float64
	test    pageHinkley
}

type sample struct {
	step    int
	latency float64
}

func (b *bandit) pick(*rand.Rand) int {
	b.step++
	best, lowest := 0, math.Inf(1)
	for index := range b.arms {
		pulled := &b.arms[index]
		width := min(b.window, b.step-pulled.since+1)
		pulled.trim(b.step - width)
		if len(pulled.samples) == 0 {
			return index
		}
		count := float64(len(pulled.samples))
		bound := pulled.sum/count - math.Sqrt(b.explore*math.Log(float64(max(width, 2)))/count)
		if bound < lowest {
			best, lowest = index, bound
		}
	}
	return best
}

func (b *bandit) answered(index int, latency float64) {
	pulled := &b.arms[index]
	pulled.samples = append(pulled.samples, sample{step: b.step, latency: latency})
	pulled.sum += latency
	if pulled.test.changed(latency, b.tolerance, b.threshold) {
		pulled.since = b.step
		pulled.test = pageHinkley{}
	}
}

func (a *arm) trim(before int) {
	for len(a.samples) > 0 && a.samples[0].step < before {
		a.sum -= a.samples[0].latency
		a.samples = a.samples[1:]
	}
}

// pageHinkley looks for a shift of the mean either way.
type pageHinkley struct {
	count, mean                    float64
	upper, upperMin, lower, lower0 float64
}

func (hinkley *pageHinkley) changed(value, tolerance, threshold float64) bool {
	hinkley.count++
	hinkley.mean += (value - hinkley.mean) / hinkley.count
	keep := (hinkley.count - 1) / hinkley.count
	hinkley.upper = keep*hinkley.upper + value - hinkley.mean - tolerance
	hinkley.lower = keep*hinkley.lower + value - hinkley.mean + tolerance
	hinkley.upperMin = min(hinkley.upperMin, hinkley.upper)
	hinkley.lower0 = max(hinkley.lower0, hinkley.lower)
	return hinkley.upper-hinkley.upperMin >= threshold || hinkley.lower0-hinkley.lower >= threshold
}
