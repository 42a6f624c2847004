package admission

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// running holds the calls that the target works on.
type running struct {
	begun map[request.CallID]time.Time
	// ages is the sum of the calls' ages at the time of the last change.
	ages      time.Duration
	changedAt time.Time
}

func (r *running) start(now time.Time) {
	r.begun = make(map[request.CallID]time.Time)
	r.changedAt = now
}

func (r *running) size() int {
	return len(r.begun)
}

func (r *running) add(now time.Time, call request.CallID) {
	r.ages = r.agesAt(now)
	r.changedAt = now
	r.begun[call] = now
}

func (r *running) remove(now time.Time, call request.CallID) bool {
	begun, ok := r.begun[call]
	if !ok {
		return false
	}
	r.ages = r.agesAt(now) - now.Sub(begun)
	r.changedAt = now
	delete(r.begun, call)
	return true
}

// meanAge is how long the calls have been running, on average.
func (r *running) meanAge(now time.Time) time.Duration {
	if len(r.begun) == 0 {
		return 0
	}
	return r.agesAt(now) / time.Duration(len(r.begun))
}

func (r *running) agesAt(now time.Time) time.Duration {
	return r.ages + time.Duration(len(r.begun))*now.Sub(r.changedAt)
}
