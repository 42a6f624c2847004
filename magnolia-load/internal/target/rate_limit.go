package target

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/web"
	"github.com/magnoliawall/magnoliawall/internal/request"
)

// LimitedPeriod is a time in which a target stated a rate limit.
type LimitedPeriod struct {
	Limit request.Rate
	Since time.Time
	// Arrivals are the times at which calls arrived, in order.
	Arrivals []time.Time
}

// rateLimit is the limit that a target states in its answers.
type rateLimit struct {
	lock    sync.Mutex
	stating bool
	periods []LimitedPeriod
}

// StateRateLimit makes the target state a rate limit in all answers until
// EndRateLimit. The target takes all calls all the same. Periods do not overlap: the call
// is ignored within one.
func (target *Target) StateRateLimit(limit request.Rate) {
	target.rate.lock.Lock()
	defer target.rate.lock.Unlock()
	if !target.rate.stating {
		target.rate.stating = true
		target.rate.periods = append(target.rate.periods, LimitedPeriod{Limit: limit, Since: time.Now()})
	}
}

// EndRateLimit ends the limit.
func (target *Target) EndRateLimit() {
	target.rate.lock.Lock()
	defer target.rate.lock.Unlock()
	target.rate.stating = false
}

// LimitedPeriods returns the times in which the target stated a limit.
func (target *Target) LimitedPeriods() []LimitedPeriod {
	target.rate.lock.Lock()
	defer target.rate.lock.Unlock()
	return append([]LimitedPeriod(nil), target.rate.periods...)
}

// stateLimit records the arrival of a call and states the limit in its answer.
func (target *Target) stateLimit(writer http.ResponseWriter) {
	target.rate.lock.Lock()
	defer target.rate.lock.Unlock()
	if !target.rate.stating {
		return
	}
	current := &target.rate.periods[len(target.rate.periods)-1]
	current.Arrivals = append(current.Arrivals, time.Now())
	writer.Header().Set(web.HeaderRateLimit, strconv.FormatFloat(float64(current.Limit), 'f', -1, 64))
}
