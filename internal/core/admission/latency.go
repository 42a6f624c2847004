package admission

import "time"

const (
	// minMeanSamples and maxMeanSamples bound the number of samples in the mean
	// latency, which otherwise is the effective concurrency limit.
	minMeanSamples = 4
	maxMeanSamples = 16
	// shortestGrowthRatio lets the shortest latency rise again, by this share of
	// its distance to each longer sample.
	shortestGrowthRatio = 1.0 / 256
)

// latencyEstimate estimates how long an admitted call holds its slot.
type latencyEstimate struct {
	mean     time.Duration
	shortest time.Duration
}

func (estimate *latencyEstimate) record(sample Sample, concurrency int) {
	if estimate.mean == 0 {
		estimate.mean = sample.Latency
	}
	estimate.mean += (sample.Latency - estimate.mean) / time.Duration(min(max(concurrency, minMeanSamples), maxMeanSamples))
	if sample.Result != Succeeded {
		return
	}
	if estimate.shortest == 0 || sample.Latency < estimate.shortest {
		estimate.shortest = sample.Latency
		return
	}
	estimate.shortest += time.Duration(shortestGrowthRatio * float64(sample.Latency-estimate.shortest))
}

// scaledMean is the mean latency times the factor.
func (estimate *latencyEstimate) scaledMean(factor float64) time.Duration {
	return time.Duration(factor * float64(estimate.mean))
}
