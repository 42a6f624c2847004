package admission

import "time"

const (
	// paceMin and paceMax bound the number of samples in the mean latency, which
	// is otherwise the number of places.
	paceMin = 4
	paceMax = 16
	// shortestGrowth lets the shortest latency rise again.
	shortestGrowth = 1.0 / 256
)

// pace estimates how long an admitted call holds its slot.
type pace struct {
	latency  time.Duration
	shortest time.Duration
}

func (p *pace) finish(sample Sample, places int) {
	if p.latency == 0 {
		p.latency = sample.Latency
	}
	p.latency += (sample.Latency - p.latency) / time.Duration(min(max(places, paceMin), paceMax))
	if sample.Result != Succeeded {
		return
	}
	if p.shortest == 0 || sample.Latency < p.shortest {
		p.shortest = sample.Latency
		return
	}
	p.shortest += time.Duration(shortestGrowth * float64(sample.Latency-p.shortest))
}

// share is a share of the mean latency.
func (p *pace) share(part float64) time.Duration {
	return time.Duration(part * float64(p.latency))
}
