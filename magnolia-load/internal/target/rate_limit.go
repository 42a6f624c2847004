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
	// StatedAt is when the first answer with the limit was complete; zero if there was
	// none.
	StatedAt time.Time
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
		target.rate.periods = append(target.rate.periods, LimitedPeriod{Limit: limit})
	}
}

// StateRateLimitAnew begins another period with the same limit, if one is stated. It is
// called when all processes that know of the limit were killed, so that nobody is told until
// the next answer is complete.
func (target *Target) StateRateLimitAnew() {
	target.rate.lock.Lock()
	defer target.rate.lock.Unlock()
	if target.rate.stating {
		current := target.rate.periods[len(target.rate.periods)-1]
		target.rate.periods = append(target.rate.periods, LimitedPeriod{Limit: current.Limit})
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

// stateLimit records the arrival of a call and states the limit in its answer. The
// returned function is called when the answer is complete.
func (target *Target) stateLimit(writer http.ResponseWriter) (answered func()) {
	target.rate.lock.Lock()
	defer target.rate.lock.Unlock()
	if !target.rate.stating {
		return func() {}
	}
	index := len(target.rate.periods) - 1
	current := &target.rate.periods[index]
	current.Arrivals = append(current.Arrivals, time.Now())
	writer.Header().Set(web.HeaderRateLimit, strconv.FormatFloat(float64(current.Limit), 'f', -1, 64))
	return func() { target.recordStated(index) }
}

func (target *Target) recordStated(index int) {
	target.rate.lock.Lock()
	defer target.rate.lock.Unlock()
	if period := &target.rate.periods[index]; period.StatedAt.IsZero() {
		period.StatedAt = time.Now()
	}
}
