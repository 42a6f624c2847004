package admission

import "time"

const (
	// paceWeight is the weight of a new sample in the mean latency.
	paceWeight = 1.0 / 16
	// shortestGrowth lets the shortest latency rise again.
	shortestGrowth = 1.0 / 256
)

// pace estimates how long an admitted call holds its slot.
type pace struct {
	latency  time.Duration
	shortest time.Duration
}

func (p *pace) finish(sample Sample) {
	if p.latency == 0 {
		p.latency = sample.Latency
	}
	p.latency += time.Duration(paceWeight * float64(sample.Latency-p.latency))
	if sample.Result != Succeeded {
		return
	}
	if p.shortest == 0 || sample.Latency < p.shortest {
		p.shortest = sample.Latency
		return
	}
	p.shortest += time.Duration(shortestGrowth * float64(sample.Latency-p.shortest))
}
