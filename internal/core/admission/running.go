package admission

import (
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// running holds the calls that the target works on.
type running struct {
	begun map[request.CallID]beginning
	// ages is the sum of the calls' ages at the time of the last change.
	ages      time.Duration
	changedAt time.Time
}

// beginning is when a call was admitted, and the mark of its stretch.
type beginning struct {
	at   time.Time
	mark int
}

func (r *running) start(now time.Time) {
	r.begun = make(map[request.CallID]beginning)
	r.changedAt = now
}

func (r *running) size() int {
	return len(r.begun)
}

func (r *running) add(now time.Time, call request.CallID, mark int) {
	r.ages = r.agesAt(now)
	r.changedAt = now
	r.begun[call] = beginning{at: now, mark: mark}
}

func (r *running) remove(now time.Time, call request.CallID) (mark int, ok bool) {
	begun, ok := r.begun[call]
	if !ok {
		return 0, false
	}
	r.ages = r.agesAt(now) - now.Sub(begun.at)
	r.changedAt = now
	delete(r.begun, call)
	return begun.mark, true
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
