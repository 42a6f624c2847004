package ingress

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// refusalEffectTime is how long a refusal by a downstream service accounts for
	// failures of its callers: the longest usual time between two calls of a
	// request.
	refusalEffectTime = time.Second
	// loadGain is the smoothing factor for the mean load of a downstream service.
	loadGain = 0.1
	// maxLoadWithCapacity is the mean load up to which a service has free capacity.
	// Targets that slow down when they are nearly full are filled up to nineteen
	// in twenty of their slots, and unevenly.
	maxLoadWithCapacity = 0.75
)

// Shortage tells whether the services that a target calls lack capacity. A
// request that fails or is late during a shortage does so because of it. Once the
// services have capacity again, requests that still fail were started before,
// and say nothing about the calls that enter now.
type Shortage struct {
	lastRefusal time.Time
	loads       map[request.ServiceName]float64
}

// RecordRefusal records a call that a downstream service refused for lack of
// capacity.
func (shortage *Shortage) RecordRefusal(now time.Time) {
	shortage.lastRefusal = now
}

// RecordLoad records the load that a target of a service reports with an answer. A
// target with a load of one is just full.
func (shortage *Shortage) RecordLoad(service request.ServiceName, load float64) {
	if shortage.loads == nil {
		shortage.loads = make(map[request.ServiceName]float64)
	}
	mean, known := shortage.loads[service]
	if !known {
		mean = load
	}
	shortage.loads[service] = mean + (load-mean)*loadGain
	if shortage.allHaveCapacity() {
		shortage.lastRefusal = time.Time{}
	}
}

// Active tells whether a failure now is attributed to a lack of capacity.
func (shortage *Shortage) Active(now time.Time) bool {
	return now.Sub(shortage.lastRefusal) < refusalEffectTime
}

func (shortage *Shortage) allHaveCapacity() bool {
	for _, mean := range shortage.loads {
		if mean > maxLoadWithCapacity {
			return false
		}
	}
	return true
}
