package intake

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

const (
	// explainingTime is how long a refusal of a service below explains failures above
	// it: the longest usual wait of a call for its next one.
	explainingTime = time.Second
	// loadGain is the gain of the mean load of a service below.
	loadGain = 0.1
	// roomyLoad is the mean load up to which a service has room. Targets that slow down
	// when nearly full are filled up to nineteen in twenty, and unevenly.
	roomyLoad = 0.75
)

// Shortage tells whether the services that a target calls lack room. A request that
// fails meanwhile, or is late, fails for that. Once they have room again, what still
// fails began before: it says nothing of the calls that enter now.
type Shortage struct {
	foundAt time.Time
	loads   map[request.ServiceName]float64
}

// Found notes a call that found no room.
func (sh *Shortage) Found(now time.Time) {
	sh.foundAt = now
}

// Heard takes how full a target of a service is, which it tells with an answer; one is
// just full.
func (sh *Shortage) Heard(service request.ServiceName, load float64) {
	if sh.loads == nil {
		sh.loads = make(map[request.ServiceName]float64)
	}
	mean, known := sh.loads[service]
	if !known {
		mean = load
	}
	sh.loads[service] = mean + (load-mean)*loadGain
	if sh.roomy() {
		sh.foundAt = time.Time{}
	}
}

// Lasts tells whether a failure is explained by a lack of room.
func (sh *Shortage) Lasts(now time.Time) bool {
	return now.Sub(sh.foundAt) < explainingTime
}

func (sh *Shortage) roomy() bool {
	for _, mean := range sh.loads {
		if mean > roomyLoad {
			return false
		}
	}
	return true
}
